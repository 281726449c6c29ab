/** Joins chunks of bytes, at most once for each message however long it is. */

import {Buffer} from 'node:buffer';

/** Bytes read but not yet used. */
export type ChunkBuffer = Readonly<{
	/** Adds a chunk at the end. */
	push: (chunk: Buffer) => void;
	/** Takes all bytes if there are as many as wanted. */
	take: () => Buffer | undefined;
	/** Takes all bytes, however few. */
	takeAll: () => Buffer;
	/** Puts back what was not used, and says how many bytes are wanted before it is looked at again. */
	putBack: (rest: Buffer, neededBytes: number) => void;
}>;

const EMPTY = Buffer.alloc(0);

/** Creates an empty collector, which wants any bytes. */
export const createChunkBuffer = (): ChunkBuffer => {
	let chunks: Buffer[] = [];
	let size = 0;
	let wanted = 1;

	const takeAll = (): Buffer => {
		const taken = chunks.length === 1 ? (chunks[0] ?? EMPTY) : Buffer.concat(chunks);
		chunks = [];
		size = 0;
		wanted = 1;
		return taken;
	};

	return {
		push(chunk) {
			chunks.push(chunk);
			size += chunk.length;
		},
		take: () => size >= wanted ? takeAll() : undefined,
		takeAll,
		putBack(rest, wantedBytes) {
			if (rest.length > 0) {
				chunks = [rest, ...chunks];
				size += rest.length;
			}

			wanted = Math.max(wantedBytes, 1);
		},
	};
};
