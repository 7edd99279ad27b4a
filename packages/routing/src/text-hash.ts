/**
 * The hash by which all instances agree on the holders of a claim.
 */
import xxhash from 'xxhash-wasm';

/** Hashes a text to 32 bits; the same on every instance. */
export type TextHash = (text: string) => number;

/** Loads the hash library. Called once when a process starts. */
export async function loadTextHash(): Promise<TextHash> {
	const library = await xxhash();
	return text => library.h32(text);
}
