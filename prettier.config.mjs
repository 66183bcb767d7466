/** Layout by prettier, as Airbnb's style has it, with lines of up to 100 columns. */
export default {
  singleQuote: true,
  printWidth: 100,
  trailingComma: 'all',
  arrowParens: 'always',
  overrides: [
    // Prose is wrapped by its authors, and YAML comments keep their place beside the fields.
    { files: '*.md', options: { proseWrap: 'preserve' } },
    { files: '*.yaml', options: { singleQuote: false } },
  ],
};
