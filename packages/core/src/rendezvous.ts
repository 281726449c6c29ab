/** Rendezvous hashing: every process ranks the same candidates in the same order, and a change of one candidate moves few keys. */

/** Constants of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x81_1C_9D_C5;
const FNV_PRIME = 0x01_00_01_93;
/** Multipliers of `fmix32`, the finalizer of MurmurHash3, which spreads each bit of the FNV hash over the whole result. */
const FMIX_MULTIPLIER_1 = 0x85_EB_CA_6B;
const FMIX_MULTIPLIER_2 = 0xC2_B2_AE_35;

/** Computes a 32-bit hash of a text. */
export const computeHash = (text: string): number => {
	let hash = FNV_OFFSET;
	for (let index = 0; index < text.length; index++) {
		hash ^= text.codePointAt(index) ?? 0;
		hash = Math.imul(hash, FNV_PRIME);
	}

	hash ^= hash >>> 16;
	hash = Math.imul(hash, FMIX_MULTIPLIER_1);
	hash ^= hash >>> 13;
	hash = Math.imul(hash, FMIX_MULTIPLIER_2);
	hash ^= hash >>> 16;
	return hash >>> 0;
};

/** Ranks candidates for a key, best first. */
export const rankCandidates = <Id extends string>(key: string, candidates: readonly Id[]): readonly Id[] => candidates
	.map(id => ({id, score: computeHash(`${key}\u0000${id}`)}))
	.toSorted((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
	.map(({id}) => id);
