/**
 * Maps a key to the slot that it belongs to.
 */
import {type Slot} from '@dogwooddeck/model/identifiers';
import createHasher from 'xxhash-wasm';

/** Returns the slot of a key. The number of slots is fixed for the service. */
export type SlotHash = (key: string, slots: number) => Slot;

/** Loads the hash function (32-bit xxHash with seed 0). A key maps to the same slot in every process. */
export async function createSlotHash(): Promise<SlotHash> {
	const {h32} = await createHasher();
	return (key, slots) => h32(key) % slots;
}
