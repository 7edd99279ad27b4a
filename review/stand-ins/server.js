/**
 * A stand-in server of the platform. It announces itself, holds keys under leases if its
 * service is divided by key, and runs requests in its slots.
 */
/* eslint-disable camelcase, no-void -- the platform's field names; promises that end with the server */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {ports} from './deployment.js';
import {controlCall} from './http-call.js';

const heartbeatMilliseconds = 1500;
const releasingMilliseconds = 80;
const queueLength = 8;
const drainMilliseconds = 2500;

/** One start of a server. */
export class StandInServer {
	isUp = false;
	/** The rows that it holds, and those that it still works on. */
	rows = [];
	releasing = [];
	holdsUntil = 0;
	#released = [];
	#seenFences = new Map();
	#sequence = 0;
	#state = 'ready';
	#running = new Set();
	#queue = [];
	#sockets = new Set();
	#control;

	/** `onArrival`, `onRun` and `onEnd` are told of each request. */
	constructor(deployment, {
		id, service, host, zone, keyed = false, slots = 2, workMilliseconds = 100, born = Date.now(), onArrival, onRun, onEnd,
	}) {
		Object.assign(this, {
			deployment, id, service, host, zone, keyed, slots, workMilliseconds, born, onArrival, onRun, onEnd,
		});
		this.server = createServer((request, response) => {
			void this.#take(request, response);
		});
		this.server.keepAliveTimeout = 10_000;
		this.server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	async start() {
		this.isUp = true;
		await new Promise(resolve => {
			this.server.listen(ports.server, this.host, resolve);
		});
		void this.#announceForever();
	}

	/** Ends at once, as a process that is killed. */
	crash() {
		this.isUp = false;
		this.server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Leaves as planned: reports it, serves on, and ends. */
	async leave() {
		this.#state = 'draining';
		await this.#announce();
		await pause(drainMilliseconds + 500);
		await controlCall(this.#control, ports.control, {method: 'DELETE', path: `/-/instances/${this.id}`, body: {born: this.born}});
		this.crash();
	}

	holdsKey(key) {
		return this.isUp && performance.now() < this.holdsUntil && this.rows.some(([from, to]) => key >= from && key <= to);
	}

	async #take(request, response) {
		const {headers} = request;
		const id = headers['dogwooddeck-request-id'];
		const refuse = status => {
			response.writeHead(status, {'Dogwooddeck-Request-Id': id ?? '', 'Dogwooddeck-Not-Executed': '1', 'Content-Length': 0});
			response.end();
		};

		const chunks = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const arrival = {
			id, server: this, request, body: Buffer.concat(chunks), response,
		};
		if (this.onArrival?.(arrival) === true) {
			return;
		}

		const isOther = headers['dogwooddeck-expect-instance'] !== undefined && headers['dogwooddeck-expect-instance'] !== this.id;
		if (isOther || (this.keyed && !this.holdsKey(Number(headers['dogwooddeck-shard-key'])))) {
			refuse(421);
			return;
		}

		const work = {arrival, key: Number(headers['dogwooddeck-shard-key'] ?? -1), refuse};
		if (this.#running.size < this.slots) {
			void this.#run(work);
		} else if (this.#queue.length < queueLength) {
			this.#queue.push(work);
			response.on('close', () => {
				this.#queue = this.#queue.filter(other => other !== work);
			});
		} else {
			refuse(503);
		}
	}

	async #run(work) {
		const {arrival: {id, response, body}} = work;
		this.#running.add(work);
		const ended = new Promise(resolve => {
			response.once('close', resolve);
		});
		const run = {
			id, server: this.id, beganAt: performance.now(), body,
		};
		this.onRun?.(run);
		const outcome = await Promise.race([pause(this.workMilliseconds, 'done'), ended]);
		this.#running.delete(work);
		if (outcome === 'done') {
			const text = `${id} by ${this.id}`;
			response.writeHead(200, {'Dogwooddeck-Request-Id': id, 'Dogwooddeck-Server-Stamp': `${this.id}.${id}`, 'Content-Length': Buffer.byteLength(text)});
			response.end(text);
		}

		this.onEnd?.({...run, isWhole: outcome === 'done'});
		const next = this.#queue.shift();
		if (next !== undefined) {
			void this.#run(next);
		}
	}

	#hold(granted, until) {
		const accepted = granted.filter(([from, to, fence]) => {
			for (let key = from; key <= to; key += 1) {
				if ((this.#seenFences.get(key) ?? 0) > fence) {
					return false;
				}
			}

			return true;
		});
		for (const [from, to, fence] of accepted) {
			for (let key = from; key <= to; key += 1) {
				this.#seenFences.set(key, fence);
			}
		}

		const isKept = ([from, to, fence]) => accepted.some(row => row[0] <= from && row[1] >= to && row[2] === fence);
		this.releasing.push(...this.rows.filter(row => !isKept(row)));
		this.rows = accepted.map(([from, to, fence]) => [from, to, fence]);
		this.holdsUntil = until;
	}

	#release() {
		const isBusy = ([from, to]) => [...this.#running].some(({key}) => key >= from && key <= to);
		this.#released.push(...this.releasing.filter(row => !isBusy(row)).map(([from, to, fence]) => [from, to, `${this.id}.${fence}`]));
		this.releasing = this.releasing.filter(row => isBusy(row));
	}

	async #announce() {
		const sentAt = performance.now();
		if (sentAt >= this.holdsUntil) {
			this.rows = [];
			this.releasing = [];
		}

		this.#release();
		this.#sequence += 1;
		const released = [...this.#released];
		const body = {
			address: `${this.host}:${ports.server}`,
			born: this.born,
			info: {
				service: this.service, version: 'v1', zone: this.zone, slots: this.slots,
			},
			status: {state: this.#state, seq: this.#sequence, cold_remaining_s: 0},
			...(this.keyed ? {holds: [...this.rows, ...this.releasing], released} : {}),
		};
		const controls = this.deployment.controls.filter(({isRunning}) => isRunning).map(({host}) => host);
		for (const control of new Set([this.#control ?? controls[0], ...controls])) {
			const answer = control === undefined ? undefined : await controlCall(control, ports.control, {method: 'PUT', path: `/-/instances/${this.id}`, body});
			if (answer?.status === 200) {
				this.#control = control;
				this.#released = this.#released.slice(released.length);
				if (answer.body?.holds !== undefined) {
					this.#hold(answer.body.holds, sentAt + (answer.body.hold_s * 1000));
				}

				return true;
			}
		}

		return false;
	}

	async #announceForever() {
		while (this.isUp) {
			await this.#announce();
			await pause(this.releasing.length + this.#released.length > 0 ? releasingMilliseconds : heartbeatMilliseconds);
		}
	}
}
