/**
 * A proxy between one instance and the others, which tests can cut. Each
 * instance reaches its peers through a proxy of its own, so that any pair can
 * be cut in one direction or in both.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';

/** A proxy that listens. */
export type ConnectProxy = {
	/** As `IP:port`. */
	readonly address: string;
	/** Cuts the way to these addresses silently: connections stand, and nothing passes. */
	readonly cut: (addresses: Iterable<string>) => void;
	/** Heals all cuts. Connections that were cut are closed. */
	readonly heal: () => void;
	/** The bytes that have passed, both ways. */
	readonly passed: () => number;
	readonly close: () => void;
};

type Tunnel = {readonly target: string; readonly near: Socket; readonly far: Socket; cut: boolean};

function silence(tunnel: Tunnel): void {
	tunnel.cut = true;
	tunnel.near.unpipe(tunnel.far);
	tunnel.far.unpipe(tunnel.near);
	tunnel.near.pause();
	tunnel.far.pause();
}

function closeTunnel({near, far}: Tunnel): void {
	near.destroy();
	far.destroy();
}

async function listen(server: Server): Promise<string> {
	return new Promise(resolve => {
		server.listen(0, '127.0.0.1', () => {
			resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		});
	});
}

/** Starts a proxy for `CONNECT` requests. */
export async function startConnectProxy(): Promise<ConnectProxy> {
	const tunnels = new Set<Tunnel>();
	let cutAddresses = new Set<string>();
	let passed = 0;
	const count = (chunk: Uint8Array) => {
		passed += chunk.length;
	};

	function open(target: string, near: Socket): void {
		const [host, port] = target.split(':');
		const far = connect(Number(port), host);
		const tunnel: Tunnel = {
			target, near, far, cut: false,
		};
		tunnels.add(tunnel);
		const end = () => {
			tunnels.delete(tunnel);
			closeTunnel(tunnel);
		};

		near.on('error', end).on('close', end);
		far.on('error', end).on('close', end);
		far.once('connect', () => {
			near.write('HTTP/1.1 200 Connection established\r\n\r\n');
			near.on('data', count).pipe(far);
			far.on('data', count).pipe(near);
		});
	}

	const server = createServer();
	server.on('connect', (request, near) => {
		const target = request.url ?? '';
		if (cutAddresses.has(target)) {
			near.on('error', () => undefined);
			return;
		}

		open(target, near as Socket);
	});

	return {
		address: await listen(server),
		cut(addresses) {
			cutAddresses = new Set([...cutAddresses, ...addresses]);
			for (const tunnel of tunnels) {
				if (cutAddresses.has(tunnel.target)) {
					silence(tunnel);
				}
			}
		},
		heal() {
			cutAddresses = new Set();
			for (const tunnel of [...tunnels].filter(({cut}) => cut)) {
				closeTunnel(tunnel);
			}
		},
		passed: () => passed,
		close() {
			server.close();
			server.closeAllConnections();
			for (const tunnel of tunnels) {
				closeTunnel(tunnel);
			}
		},
	};
}
