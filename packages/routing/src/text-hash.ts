/**
 * String hash for rendezvous hashing, by which all instances choose the same holders of a claim.
 */
import xxhash from 'xxhash-wasm';

/** Hashes a string to 32 bits, with the same result on every instance. */
export type TextHash = (text: string) => number;

/** Loads the WebAssembly hash library. Called once when a process starts. */
export async function loadTextHash(): Promise<TextHash> {
	const library = await xxhash();
	return text => library.h32(text);
}
