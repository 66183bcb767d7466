/** Lint rule: each module except index.ts starts with a doc comment that states its purpose. */
const moduleComment = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { missing: 'Start the module with a doc comment that states its purpose.' },
  },
  create(context) {
    return {
      Program(program) {
        const [first] = context.sourceCode.getAllComments();
        const firstToken = program.body[0];
        const isDocComment = first?.type === 'Block' && first.value.startsWith('*');
        const isAtStart = first !== undefined && first.range[0] <= (firstToken?.range[0] ?? 0);
        const isIndex = context.filename.endsWith('/index.ts');
        if (!isIndex && !(isDocComment && isAtStart)) {
          context.report({ node: program, messageId: 'missing' });
        }
      },
    };
  },
};

export const moduleCommentPlugin = { rules: { 'module-comment': moduleComment } };
