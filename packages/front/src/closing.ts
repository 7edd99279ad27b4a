/**
 * Closes a server in a planned stop, so that no request that has arrived is cut off.
 */
import {type Server} from 'node:http';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

const idlePollMilliseconds: Milliseconds = 25;

/** Lets what has arrived on the sockets be read, also after a turn that took long. */
async function arrivedRead(): Promise<void> {
	for (let turn = 0; turn < 2; turn++) {
		await new Promise(resolve => {
			setTimeout(() => setImmediate(resolve), idlePollMilliseconds);
		});
	}
}

/**
 * Closes a server by `close` once what has arrived is read. Connections that
 * become idle meanwhile are closed as well: one whose request has arrived and
 * wasn't read yet would look idle.
 */
export async function closeGracefully(server: Server, close: () => Promise<void>): Promise<void> {
	await arrivedRead();
	const closingIdle = setInterval(() => {
		setImmediate(() => {
			server.closeIdleConnections();
		});
	}, idlePollMilliseconds);
	await close();
	clearInterval(closingIdle);
}
