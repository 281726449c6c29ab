/** Helpers of the line protocol: lines end with CR LF, and each byte is one character. */
/* eslint camelcase: off, no-await-in-loop: off, no-unmodified-loop-condition: off, unicorn/no-process-exit: off, unicorn/no-await-expression-member: off, @stylistic/max-len: off -- the cases are scripts written straight down, and the names of the wire are the platform's */

export const wait = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Calls `onLine` with each complete line that a socket receives. */
export const readLines = (socket, onLine) => {
	let rest = '';
	socket.on('data', chunk => {
		const lines = (rest + chunk.toString('latin1')).split('\r\n');
		rest = lines.pop();
		for (const line of lines) {
			onLine(line);
		}
	});
};

/** Splits a line into at most `most` words; the last one is the rest of the line. */
export const splitWords = (line, most) => {
	const words = line.split(' ');
	return words.length <= most ? words : [...words.slice(0, most - 1), words.slice(most - 1).join(' ')];
};
