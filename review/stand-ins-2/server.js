/**
 * A stand-in server of the platform: it runs requests in its slots, announces itself, holds keys under leases, and
 * leaves. What it runs and holds is told to the case.
 */
/* eslint-disable camelcase -- names of the platform's pages */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';

const acknowledgeMilliseconds = 1000;
const releasingMilliseconds = 60;
const queueLength = 8;
const keyCount = 65_536;

/** The parts of a span that lie in none of the others. */
function subtract({from, to}, others) {
	const rest = [];
	let next = from;
	for (const other of [...others].sort((one, two) => one.from - two.from)) {
		if (other.to < next || other.from > to) {
			continue;
		}

		if (other.from > next) {
			rest.push({from: next, to: other.from - 1});
		}

		next = Math.max(next, other.to + 1);
	}

	return next <= to ? [...rest, {from: next, to}] : rest;
}

/** One life of a server. */
export class StandInServer {
	isUp = false;
	sequence = 0;
	/** Held rows, and what it still has to release. */
	rows = [];
	releasing = [];
	runs = [];
	/** Called with each request that it begins. */
	onRun = () => undefined;
	#released = [];
	#until = 0;
	#running = [];
	#queue = [];
	#timer;
	#sockets = new Set();
	#seenFences = new Float64Array(keyCount);

	constructor(deployment, {id, service, zone, host, slots = 2, workMilliseconds = 50, isKeyed = false, born = Date.now(), beatMilliseconds = 1500}) {
		Object.assign(this, {
			deployment, id, service, zone, host, slots, workMilliseconds, isKeyed, born, beatMilliseconds,
		});
		this.server = createServer((request, response) => {
			this.#take(request, response);
		});
		this.server.keepAliveTimeout = 10_000;
		this.server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
		deployment.servers.push(this);
	}

	get address() {
		return `${this.host}:${this.deployment.ports.server}`;
	}

	/** Takes requests, without announcing itself yet. */
	async listen() {
		this.isUp = true;
		await new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(this.deployment.ports.server, this.host, resolve);
		});
		this.deployment.note(`server ${this.id} (${this.service}) starts, born ${this.born}`);
	}

	/** Announces itself from now on. */
	announce() {
		this.#timer = setTimeout(() => {
			void this.#beat(); // eslint-disable-line no-void -- it never rejects
		}, 0);
	}

	/** Stops announcing itself. */
	fallSilent() {
		clearTimeout(this.#timer);
		this.isSilent = true;
	}

	/** Ends at once. */
	end() {
		this.isUp = false;
		clearTimeout(this.#timer);
		this.server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Whether it would run a request for a key now. */
	holds(key) {
		return this.isUp && this.deployment.now() < this.#until && this.rows.some(({from, to}) => key >= from && key <= to);
	}

	/** What it holds or is still working on now. */
	get held() {
		return this.isUp && this.deployment.now() < this.#until ? [...this.rows, ...this.releasing] : [];
	}

	/** The heartbeat that it would send now. */
	nextBeat(state = 'ready') {
		this.sequence += 1;
		return {
			address: this.address,
			born: this.born,
			info: {
				service: this.service, zone: this.zone, slots: this.slots, version: 'v1',
			},
			status: {state, seq: this.sequence, cold_remaining_s: 0},
			...(this.isKeyed ? {holds: this.held.map(({from, to, fence}) => [from, to, fence]), released: this.#released} : {}),
		};
	}

	/** Says that it leaves. Returns the name of the instance that acknowledged it. */
	async leave() {
		for (const plan of this.deployment.controls) {
			const answer = await this.deployment.callControl(plan, {method: 'DELETE', path: `/-/instances/${this.id}`, body: {born: this.born}});
			this.deployment.note(`server ${this.id}, born ${this.born}, says to ${plan.name} that it leaves: ${answer?.status ?? 'no answer'}`);
			if (answer !== undefined && answer.status >= 200 && answer.status < 300) {
				return plan.name;
			}
		}

		assert.fail(`${this.id} could not leave`);
	}

	#answer(response, id, status, fields, body = '') {
		response.writeHead(status, {...(id === '' ? {} : {'Dogwooddeck-Request-Id': id}), ...fields, 'Content-Length': Buffer.byteLength(body)});
		response.end(body);
	}

	#take(request, response) {
		const {headers} = request;
		const id = headers['dogwooddeck-request-id'] ?? '';
		const key = Number(headers['dogwooddeck-shard-key'] ?? -1);
		const expected = headers['dogwooddeck-expect-instance'];
		const refuse = status => {
			this.#answer(response, id, status, {'Dogwooddeck-Not-Executed': '1'});
		};

		request.resume();
		if ((expected !== undefined && expected !== this.id) || (this.isKeyed && !this.holds(key))) {
			refuse(421);
			return;
		}

		const work = {id, key, at: this.deployment.now()};
		work.run = () => {
			this.#run(work, request, response);
		};

		if (this.#running.length < this.slots) {
			work.run();
		} else if (this.#queue.length < queueLength) {
			this.#queue.push(work);
			response.on('close', () => {
				this.#queue = this.#queue.filter(other => other !== work);
			});
		} else {
			refuse(503);
		}
	}

	#run(work, request, response) {
		const {id, key} = work;
		if (this.isKeyed && !this.holds(key)) {
			this.#answer(response, id, 421, {'Dogwooddeck-Not-Executed': '1'});
			return;
		}

		const run = {
			id, key, at: this.deployment.now(), method: request.method, path: request.url,
		};
		this.runs.push(run);
		this.#running.push(work);
		this.onRun(run);
		const end = () => {
			clearTimeout(timer);
			if (this.#running.includes(work)) {
				this.#running = this.#running.filter(other => other !== work);
				this.#queue.shift()?.run();
			}
		};

		const timer = setTimeout(() => {
			this.#answer(response, id, 200, {'Dogwooddeck-Server-Stamp': `${this.id}.${id}`}, `${id} by ${this.id}`);
			end();
		}, this.workMilliseconds);
		response.on('close', end);
	}

	#release() {
		const isBusy = ({from, to}) => this.#running.some(({key}) => key >= from && key <= to);
		const done = this.releasing.filter(row => !isBusy(row));
		this.releasing = this.releasing.filter(row => isBusy(row));
		this.#released = [...this.#released, ...done.map(({from, to, fence}) => [from, to, `${this.id}.${fence}`])];
	}

	#adopt(holds, until) {
		const rows = holds.map(([from, to, fence]) => ({from, to, fence}))
			.filter(({from, to, fence}) => this.#seenFences.subarray(from, to + 1).every(seen => seen <= fence));
		for (const {from, to, fence} of rows) {
			this.#seenFences.fill(fence, from, to + 1);
		}

		const left = this.rows.flatMap(row => subtract(row, rows).map(span => ({...span, fence: row.fence})));
		this.#until = until;
		this.rows = rows;
		this.releasing = [...this.releasing, ...left];
		this.#release();
	}

	async #beat() {
		if (!this.isUp || this.isSilent) {
			return;
		}

		const sentAt = this.deployment.now();
		if (sentAt >= this.#until) {
			this.rows = [];
			this.releasing = [];
		}

		this.#release();
		const sent = this.#released;
		const beat = this.nextBeat();
		const answer = await this.#send(beat);
		if (!this.isUp) {
			return;
		}

		if (answer !== undefined) {
			this.#released = this.#released.slice(sent.length);
			if (this.isKeyed && answer.holds !== undefined) {
				this.#adopt(answer.holds, sentAt + (answer.hold_s * 1000));
			}
		}

		const isReleasing = this.releasing.length + this.#released.length > 0;
		this.#timer = setTimeout(() => {
			void this.#beat(); // eslint-disable-line no-void -- it never rejects
		}, isReleasing ? releasingMilliseconds : Math.max(50, this.beatMilliseconds - (this.deployment.now() - sentAt)));
	}

	async #send(beat) {
		const {controls} = this.deployment;
		const near = controls.filter(({zone}) => zone === this.zone);
		for (const plan of [...near, ...controls.filter(one => !near.includes(one))]) {
			const answer = await this.deployment.callControl(plan, {
				method: 'PUT', path: `/-/instances/${this.id}`, body: beat, timeoutMilliseconds: acknowledgeMilliseconds,
			});
			if (answer !== undefined && answer.status >= 200 && answer.status < 300) {
				this.acknowledgedAt = this.deployment.now();
				return JSON.parse(answer.body);
			}

			this.lastRefusal = answer?.status;
			await pause(20);
		}

		return undefined;
	}
}
