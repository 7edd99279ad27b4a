/**
 * Clients send safe requests behind one another on kept connections while the entry
 * that took them is stopped as planned.
 */
/* eslint-disable camelcase -- the platform's field names */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment, ports} from '../stand-ins/deployment.js';
import {
	configure, firstCall, routeOf, serviceOf,
} from '../stand-ins/operator.js';
import {PipeliningClient} from '../stand-ins/pipelining-client.js';
import {StandInServer} from '../stand-ins/server.js';

const folder = path.dirname(fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';
const hostname = 'hulo.example';
const clientCount = 8;
const depth = 3;
const graceMilliseconds = 6000;
const lines = [];
const startedAt = performance.now();
const note = text => {
	lines.push(`${Math.round(performance.now() - startedAt)} ${text}`);
};

const runs = new Map();
const requests = [];
const run = {isOver: false};

async function runClient(name, entries) {
	let client;
	let entry;
	for (let round = 0; !run.isOver; round += 1) {
		if (client === undefined || client.isClosed) {
			// The platform sends new connections to entries that say that they are ready.
			const ready = [];
			for (const one of entries) {
				if (await one.isReady()) {
					ready.push(one);
				}
			}

			if (ready.length === 0) {
				await pause(100);
				continue;
			}

			entry = ready[round % ready.length];
			client = new PipeliningClient(entry.host, ports.front);
		}

		const sent = Array.from({length: depth}, (_, position) => ({
			id: `${name}-${round}-${position}`, position, entry: entry.name, sentAt: performance.now(),
		}));
		requests.push(...sent);
		const answers = await Promise.all(client.send(sent.map(({id}) => ({
			path: `/read/${id}`, host: hostname, headers: {'Dogwooddeck-Request-Id': id, 'Dogwooddeck-Deadline-Ms': '2000'},
		}))));
		for (const [position, answer] of answers.entries()) {
			sent[position].endedAt = performance.now();
			sent[position].status = answer?.status;
		}

		if (answers.some(answer => answer === undefined || answer.headers.connection === 'close')) {
			client.close();
			client = undefined;
		}

		await pause(40);
	}

	client?.close();
}

async function main() {
	const deployment = await Deployment.create({controls: 3, entries: 3});
	try {
		deployment.start();
		await pause(1500);
		const status = await configure(deployment, firstCall(hostname, [serviceOf('reads')], [routeOf('r-reads', {path_prefix: '/read/', service: 'reads'})]));
		const servers = Array.from({length: 8}, (_, position) => new StandInServer(deployment, {
			id: `i-${position}`,
			service: 'reads',
			host: deployment.serverHost(position),
			zone: deployment.zoneOf(position),
			slots: 4,
			workMilliseconds: 80,
			onRun({id, server, beganAt}) {
				runs.set(id, [...runs.get(id) ?? [], {server, beganAt}]);
			},
		}));
		await Promise.all(servers.map(async server => server.start()));
		if (status !== 200 || !await deployment.waitForEntries()) {
			note(`the deployment did not start: configuration ${status}`);
			return 2;
		}

		await pause(2000);
		const clients = Array.from({length: clientCount}, async (_, position) => runClient(`c${position}`, deployment.entries));
		await pause(5000);
		const stops = [];
		for (const entry of deployment.entries.slice(0, 2)) {
			if (isTroubled) {
				const from = performance.now();
				note(`SIGTERM to ${entry.name}`);
				await entry.stop();
				note(`${entry.name} has ended`);
				stops.push({entry: entry.name, from});
				entry.start();
				await deployment.waitForEntries();
			}

			await pause(2000);
		}

		run.isOver = true;
		await Promise.all(clients);
		const inStop = request => stops.some(({entry, from}) => entry === request.entry && request.endedAt >= from && request.sentAt <= from + graceMilliseconds + 1000);
		const cut = requests.filter(({status: answered}) => answered === undefined);
		const lost = cut.filter(request => inStop(request) && runs.has(request.id));
		for (const {id, entry, sentAt, endedAt, status: answered} of requests) {
			const ran = (runs.get(id) ?? []).map(({server, beganAt}) => `${server}@${Math.round(beganAt - startedAt)}`).join(',');
			lines.push(`request ${id} ${entry} sent ${Math.round(sentAt - startedAt)} ended ${Math.round(endedAt - startedAt)} ${answered ?? 'cut'} ran ${ran === '' ? 'never' : ran}`);
		}

		for (const {id} of lost) {
			note(`LOST: ${id}`);
		}

		const summary = `${requests.length} requests, ${cut.length} cut, ${lost.length} of them cut after they were passed on, around a planned stop`;
		note(summary);
		console.log(summary);
		return lost.length > 0 ? 1 : 0;
	} finally {
		run.isOver = true;
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
