/**
 * Some servers spoil a few of their answers: the body comes in chunks of one byte and
 * without end. Clients read from them, and others place orders at sound servers.
 */
/* eslint-disable camelcase -- the platform's field names */
import {Buffer} from 'node:buffer';
import {writeFileSync} from 'node:fs';
import {Agent} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment, ports} from '../stand-ins/deployment.js';
import {httpCall} from '../stand-ins/http-call.js';
import {
	configure, firstCall, routeOf, serviceOf,
} from '../stand-ins/operator.js';
import {StandInServer} from '../stand-ins/server.js';
import {restartEnded} from '../stand-ins/supervisor.js';

const folder = path.dirname(fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';
const hostname = 'hulo.example';
/** The largest doses of `garble` in the site file: a share of 0.6 of the servers, one answer in twenty, 5 s. */
const spoiledAnswers = 0.05;
const spellMilliseconds = 5000;
const spells = 6;
const betweenMilliseconds = 5000;
const readersPerEntry = 60;
const buyersPerEntry = 12;
const orderTimeoutMilliseconds = 10_000;
const lostThatBreakTheRule = 4;
const oneByteChunks = Buffer.from('1\r\na\r\n'.repeat(10_000));

const state = {isOver: false, isSpoiling: false};
const lines = [];
const startedAt = performance.now();
const note = text => {
	lines.push(`${Math.round(performance.now() - startedAt)} ${text}`);
};

const orders = [];
const runs = new Map();
const spoiled = {count: 0};

/** Answers with a body in chunks of one byte, without end, until the caller closes. */
function spoil({id, server, response}) {
	spoiled.count += 1;
	note(`${server.id} spoils its answer to ${id}`);
	const {socket} = response;
	const write = () => {
		while (!socket.destroyed && socket.write(oneByteChunks)) {
			// The socket takes more.
		}
	};

	socket.write(`HTTP/1.1 200 OK\r\nDogwooddeck-Request-Id: ${id}\r\nDogwooddeck-Server-Stamp: ${server.id}.${id}\r\nTransfer-Encoding: chunked\r\n\r\n`);
	socket.on('drain', write);
	write();
}

async function read(name, entry) {
	let agent = new Agent({keepAlive: true, maxSockets: 1});
	for (let count = 0; !state.isOver; count += 1) {
		const id = `${name}-${count}`;
		const answer = await httpCall({
			host: entry.host, port: ports.front, agent, path: `/read/${id}`, timeoutMilliseconds: 2000, headers: {host: hostname, 'Dogwooddeck-Request-Id': id, 'Dogwooddeck-Deadline-Ms': '2000'},
		});
		if (answer === undefined) {
			agent.destroy();
			agent = new Agent({keepAlive: true, maxSockets: 1});
		}

		await pause(100 + (Math.random() * 50));
	}

	agent.destroy();
}

async function buy(name, entry) {
	let agent = new Agent({keepAlive: true, maxSockets: 1});
	let isKept = false;
	for (let count = 0; !state.isOver; count += 1) {
		const order = {
			id: `${name}-${count}`, entry: entry.name, isKept, sentAt: performance.now(),
		};
		orders.push(order);
		const answer = await httpCall({
			host: entry.host,
			port: ports.front,
			agent,
			method: 'POST',
			path: `/order/${order.id}`,
			body: 'one satchel',
			timeoutMilliseconds: orderTimeoutMilliseconds,
			headers: {host: hostname, 'Dogwooddeck-Request-Id': order.id, 'Dogwooddeck-Deadline-Ms': String(orderTimeoutMilliseconds)},
		});
		order.status = answer?.status;
		order.endedAt = performance.now();
		isKept = answer !== undefined;
		if (answer === undefined) {
			agent.destroy();
			agent = new Agent({keepAlive: true, maxSockets: 1});
			await pause(200);
		}

		await pause(20);
	}

	agent.destroy();
}

async function main() {
	const deployment = await Deployment.create({controls: 3, entries: 2});
	try {
		deployment.start();
		await pause(1500);
		const status = await configure(deployment, firstCall(hostname, [serviceOf('reads'), serviceOf('orders')], [
			routeOf('r-reads', {path_prefix: '/read/', service: 'reads', priority: 2}),
			routeOf('r-orders', {
				path_prefix: '/order/', service: 'orders', kind: 'unsafe', timeout_s: orderTimeoutMilliseconds / 1000, target_latency_s: 2,
			}),
		]));
		const serverOf = (service, position, host) => new StandInServer(deployment, {
			id: `i-${service}-${position}`,
			service,
			host: deployment.serverHost(host),
			zone: deployment.zoneOf(position),
			slots: 6,
			workMilliseconds: 80,
			onArrival(arrival) {
				const isSpoiled = service === 'reads' && position % 5 < 3 && state.isSpoiling && Math.random() < spoiledAnswers;
				if (isSpoiled) {
					spoil(arrival);
				}

				return isSpoiled;
			},
			onRun({id, server, beganAt}) {
				runs.set(id, {server, beganAt});
			},
		});
		const servers = [
			...Array.from({length: 16}, (_, position) => serverOf('reads', position, position)),
			...Array.from({length: 6}, (_, position) => serverOf('orders', position, 16 + position)),
		];
		await Promise.all(servers.map(async server => server.start()));
		if (status !== 200 || !await deployment.waitForEntries()) {
			note(`the deployment did not start: configuration ${status}`);
			return 2;
		}

		await pause(2000);
		const supervisors = deployment.entries.map(async entry => restartEnded(entry, state, note));
		const clients = deployment.entries.flatMap(entry => [
			...Array.from({length: readersPerEntry}, async (_, position) => read(`r-${entry.name}-${position}`, entry)),
			...Array.from({length: buyersPerEntry}, async (_, position) => buy(`b-${entry.name}-${position}`, entry)),
		]);
		await pause(5000);
		for (let spell = 0; spell < spells; spell += 1) {
			state.isSpoiling = isTroubled;
			await pause(spellMilliseconds);
			state.isSpoiling = false;
			await pause(betweenMilliseconds);
		}

		state.isOver = true;
		await Promise.all([...supervisors, ...clients]);
		const lost = orders.filter(({id, isKept, status: answered, sentAt, endedAt}) => isKept && answered === undefined && runs.has(id) && endedAt - sentAt < orderTimeoutMilliseconds - 500);
		for (const {id, entry, sentAt, endedAt} of lost) {
			const times = `sent at ${Math.round(sentAt - startedAt)}, closed at ${Math.round(endedAt - startedAt)}`;
			note(`LOST: order ${id} on a kept connection to ${entry} ran at ${runs.get(id).server}; the connection closed without an answer; ${times}`);
		}

		const ends = deployment.entries.map(({name, ends: count}) => `${name} ended by itself ${count} times`).join(', ');
		const summary = `${spoiled.count} spoiled answers; ${ends}; ${orders.length} orders, ${lost.length} of them ran at sound servers and were never answered`;
		note(summary);
		console.log(summary);
		return lost.length >= lostThatBreakTheRule ? 1 : 0;
	} finally {
		state.isOver = true;
		await deployment.close();
	}
}

let code = 2;
try {
	code = await main();
} catch (error) {
	console.error(error);
}

writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
process.exit(code); // eslint-disable-line unicorn/no-process-exit
