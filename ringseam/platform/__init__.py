"""The provider's names and formats, translated into the product's types."""
