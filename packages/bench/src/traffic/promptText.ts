/** Creates texts of a given length in tokens, by the estimate that entries and agents use. */
import { createLabelledRandom } from './distributions';

const charactersPerToken = 4;
const syllables = ['bo', 'nd', 'ca', 'si', 'ng', 'ma', 'tu', 're', 'tr', 'ea', 'no', 'ti', 'ce'];

/** Creates a text determined by its label; texts of different labels differ near the start. */
export function createText(label: string, tokenCount: number): string {
  const length = tokenCount * charactersPerToken;
  const random = createLabelledRandom(label);
  const parts = [label, ': '];
  for (let size = label.length + 2; size < length; size += 7) {
    parts.push(createSyllable(random), createSyllable(random), createSyllable(random), ' ');
  }
  return parts.join('').slice(0, length);
}

function createSyllable(random: () => number): string {
  return syllables[Math.floor(random() * syllables.length)] ?? '';
}
