/** The requests that `npm start` suggests and `npm start -- --once` sends. */

const maxTokens = 48;

/** Prints a streamed completion as it arrives; throws unless it ends with `[DONE]`. */
export async function showCompletion(callerAddress, { modelService, sample, institution }, write) {
  const response = await fetch(`${callerAddress}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-institution': institution },
    body: JSON.stringify(completionBody(modelService.service, sample.prompt)),
  });
  if (!response.ok) {
    throw new Error(`completion: ${response.status} ${await response.text()}`);
  }
  const decoder = new TextDecoder();
  let received = '';
  for await (const chunk of response.body) {
    const text = decoder.decode(chunk, { stream: true });
    received += text;
    write(text);
  }
  if (!received.trimEnd().endsWith('data: [DONE]')) {
    throw new Error('the completion ended before [DONE]');
  }
}

/** Prints the answer of a plain lookup. */
export async function showLookup(callerAddress, { sample, institution }, write) {
  const response = await fetch(`${callerAddress}${sample.lookupPath}`, {
    headers: { 'x-institution': institution },
  });
  const text = await response.text();
  if (!response.ok) {
    throw new Error(`lookup: ${response.status} ${text}`);
  }
  write(`GET ${sample.lookupPath}\n${text}\n`);
}

/** A line for a shell that does the same as `showCompletion`. */
export function curlLine(callerAddress, { modelService, sample, institution }) {
  const body = JSON.stringify(completionBody(modelService.service, sample.prompt));
  return [
    `curl -N ${callerAddress}/v1/chat/completions`,
    `-H 'content-type: application/json' -H 'x-institution: ${institution}'`,
    `-d '${body}'`,
  ].join(' ');
}

function completionBody(model, prompt) {
  return {
    model,
    stream: true,
    max_tokens: maxTokens,
    messages: [{ role: 'user', content: prompt }],
  };
}
