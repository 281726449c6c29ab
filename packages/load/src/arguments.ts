/** Arguments of the command line. */

/** Flags whose value may begin with a hyphen, as one in 64 random secrets does. */
const FREE_TEXT_FLAGS: ReadonlySet<string> = new Set(['--secret']);

/** Merges each free-text flag with the argument that follows it, so that the parser does not take a value with a leading hyphen for flags. */
export const mergeFlagValues = (words: readonly string[]): readonly string[] => {
	const merged: string[] = [];
	for (let index = 0; index < words.length; index++) {
		const word = words[index] ?? '';
		const value = words[index + 1];
		if (FREE_TEXT_FLAGS.has(word) && value !== undefined) {
			merged.push(`${word}=${value}`);
			index++;
		} else {
			merged.push(word);
		}
	}

	return merged;
};
