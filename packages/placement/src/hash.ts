/**
 * From a key to the slot that it belongs to.
 */
import {type Slot} from '@dogwooddeck/model/identifiers';
import createHasher from 'xxhash-wasm';

/** Gives the slot of a key, out of a number of slots that is fixed for the service. */
export type SlotHash = (key: string, slots: number) => Slot;

/** Loads the hash function (32-bit xxHash with seed 0). The same key gives the same slot in every process. */
export async function createSlotHash(): Promise<SlotHash> {
	const {h32} = await createHasher();
	return (key, slots) => h32(key) % slots;
}
