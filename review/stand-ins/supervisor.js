/**
 * Starts a machine's process again when it has ended by itself, as the platform does.
 */
import {setTimeout as pause} from 'node:timers/promises';

const restartMilliseconds = 500;
const pollMilliseconds = 20;

/** Restarts the process until the run is over, and counts its ends in `machine.ends`. */
export async function restartEnded(machine, state, note) {
	machine.ends = 0;
	while (!state.isOver) {
		if (!machine.isRunning) {
			const {code, signal} = await machine.ended;
			machine.ends += 1;
			note(`the process of ${machine.name} has ended by itself: ${signal ?? `status ${code}`}`);
			await pause(restartMilliseconds);
			machine.start();
		}

		await pause(pollMilliseconds);
	}
}
