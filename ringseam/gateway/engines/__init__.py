"""Where on the model engines a request runs, and engines that fall silent."""
