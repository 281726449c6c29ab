/** Buffers chunks of bytes and joins them at most once for each message, however long it is. */

import {Buffer} from 'node:buffer';

/** Bytes received but not yet consumed. */
export type ChunkBuffer = Readonly<{
	/** Adds a chunk at the end. */
	push: (chunk: Buffer) => void;
	/** Takes all bytes if at least the needed number is present; otherwise takes nothing and returns `undefined`. */
	take: () => Buffer | undefined;
	/** Takes all bytes, regardless of the needed number. */
	takeAll: () => Buffer;
	/** Puts unconsumed bytes back at the front, and sets how many bytes the next `take` needs. */
	putBack: (unconsumed: Buffer, neededBytes: number) => void;
}>;

const EMPTY = Buffer.alloc(0);

/** Creates an empty buffer, whose `take` needs one byte. */
export const createChunkBuffer = (): ChunkBuffer => {
	let chunks: Buffer[] = [];
	let sizeBytes = 0;
	let minBytes = 1;

	const takeAll = (): Buffer => {
		const taken = chunks.length === 1 ? (chunks[0] ?? EMPTY) : Buffer.concat(chunks);
		chunks = [];
		sizeBytes = 0;
		minBytes = 1;
		return taken;
	};

	return {
		push(chunk) {
			chunks.push(chunk);
			sizeBytes += chunk.length;
		},
		take: () => sizeBytes >= minBytes ? takeAll() : undefined,
		takeAll,
		putBack(unconsumed, neededBytes) {
			if (unconsumed.length > 0) {
				chunks = [unconsumed, ...chunks];
				sizeBytes += unconsumed.length;
			}

			minBytes = Math.max(neededBytes, 1);
		},
	};
};
