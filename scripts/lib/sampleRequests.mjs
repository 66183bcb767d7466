/** The requests that `npm start` suggests and `npm start -- --once` sends. */

const maxTokens = 48;

/** One request to each kind of service. */
const samples = {
  'halloran-voss': {
    prompt: 'Draft a maturity notice for a series EE bond bought in May 1994.',
    lookupPath: '/balance/4711',
  },
  sahlat: {
    prompt: 'Summarise the casing report of truck 31, front left wheel.',
    lookupPath: '/dispatch/truck-31',
  },
};

/** Prints a streamed completion as it arrives; throws unless it ends with `[DONE]`. */
export async function showCompletion(callerAddress, { service, institution }, write) {
  const response = await fetch(`${callerAddress}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-institution': institution },
    body: JSON.stringify(completionBody(service, institution)),
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

/** Prints the response of a plain lookup. */
export async function showLookup(callerAddress, { institution }, write) {
  const { lookupPath } = samples[institution];
  const response = await fetch(`${callerAddress}${lookupPath}`, {
    headers: { 'x-institution': institution },
  });
  const text = await response.text();
  if (!response.ok) {
    throw new Error(`lookup: ${response.status} ${text}`);
  }
  write(`GET ${lookupPath}\n${text}\n`);
}

/** A curl command line that sends the same request as `showCompletion`. */
export function curlLine(callerAddress, { service, institution }) {
  const body = JSON.stringify(completionBody(service, institution));
  return [
    `curl -N ${callerAddress}/v1/chat/completions`,
    `-H 'content-type: application/json' -H 'x-institution: ${institution}'`,
    `-d '${body}'`,
  ].join(' ');
}

function completionBody(model, institution) {
  return {
    model,
    stream: true,
    max_tokens: maxTokens,
    messages: [{ role: 'user', content: samples[institution].prompt }],
  };
}
