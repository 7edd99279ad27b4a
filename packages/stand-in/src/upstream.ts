/**
 * A stand-in upstream: it keeps state for each key, counts what it ran, and
 * shows faults when it is told to.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {monotonicNow, wallNow} from '@dogwooddeck/clock/monotonic';
import {HeaderName} from '@dogwooddeck/model/headers';
import {
	type FenceNumber, type Incarnation, type Milliseconds, type RegionName, type ServiceName, type Slot, type UpstreamName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type Announcement} from '@dogwooddeck/model/registry';
import {type Announcer, type AnnouncerOptions, startAnnouncer} from './announcer.js';
import {answers, operationHeader} from './answers.js';
import {
	Fault, type FaultOrder, noFault, readFaultOrder,
} from './fault.js';

/** What a stand-in upstream is. */
export type UpstreamOptions = {
	readonly service: ServiceName;
	readonly name: UpstreamName;
	readonly incarnation: Incarnation;
	readonly region: RegionName;
	readonly zone: ZoneName;
	/** The IP number to listen on. */
	readonly host: string;
	/** 0: any free port. */
	readonly port: number;
	/** Whether it refuses a request with an older fence number. */
	readonly checksFence: boolean;
	/** Requests that run at one time; others wait. */
	readonly slots: number;
	/** How long a request runs. */
	readonly workMilliseconds: Milliseconds;
	/** The length of an answer's body. */
	readonly answerBytes: number;
	/** Whether it takes a later incarnation when it was judged to be gone. */
	readonly rejoins: boolean;
	/** Absent: it announces itself to nobody. */
	readonly announceTo?: AnnouncerOptions;
	/** Whether it announces itself only once `announce` is called. */
	readonly announcesLater: boolean;
};

/** A stand-in upstream that listens. */
export type StandInUpstream = {
	/** As `IP:port`. */
	readonly address: string;
	/** How often each operation ran. */
	readonly ran: ReadonlyMap<string, number>;
	/** How many connections were taken. */
	readonly connections: number;
	/** The header fields of the newest request. */
	readonly lastHeaders: IncomingHttpHeaders;
	readonly announcer: Announcer | undefined;
	/** Announces itself from now on, if it doesn't yet. */
	announce(): void;
	/** Shows a fault from now on. */
	order(order: FaultOrder): Promise<void>;
	/** Announces that it leaves, and ends once it has no grants and no requests. */
	drain(): Promise<void>;
	/** Ends at once. */
	stop(): Promise<void>;
};

/** The defaults of a stand-in upstream for tests. */
export const defaultUpstreamOptions: UpstreamOptions = {
	service: 'bermrand/schedule',
	name: 'upstream',
	incarnation: 1,
	region: 'noord',
	zone: 'noord-1',
	host: '127.0.0.1',
	port: 0,
	checksFence: false,
	slots: 1024,
	workMilliseconds: 0,
	answerBytes: 1024,
	rejoins: false,
	announcesLater: false,
};

const misdirected = 421;
const deadlinePassed = 504;
const drainPollMilliseconds = 50;

async function bodyOf(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString();
}

function endJson(response: ServerResponse, value: unknown, status = 200): void {
	const text = JSON.stringify(value);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}).end(text);
}

class Upstream implements StandInUpstream {
	address = '';
	connections = 0;
	lastHeaders: IncomingHttpHeaders = {};
	announcer: Announcer | undefined;
	readonly ran = new Map<string, number>();
	readonly #options: UpstreamOptions;
	readonly #server: Server;
	readonly #keys = new Map<string, number>();
	readonly #fences = new Map<Slot, FenceNumber>();
	readonly #waiting: Array<() => void> = [];
	#incarnation: Incarnation;
	#running = 0;
	#leaving = false;
	#order: FaultOrder = noFault;
	#left = Number.POSITIVE_INFINITY;

	constructor(options: UpstreamOptions) {
		this.#options = options;
		this.#incarnation = options.incarnation;
		this.#server = createServer((request, response) => {
			void this.#meet(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
		this.#server.on('connection', (socket: Socket) => {
			this.connections++;
			socket.on('error', () => socket.destroy());
			if (this.#order.fault === Fault.resetOnConnect) {
				socket.resetAndDestroy();
			}
		});
	}

	async start(): Promise<void> {
		const {host, port, announcesLater} = this.#options;
		await this.#listen(port);
		this.address = `${host}:${this.#port}`;
		if (!announcesLater) {
			this.announce();
		}
	}

	announce(): void {
		const {announceTo} = this.#options;
		if (announceTo === undefined) {
			return;
		}

		this.announcer ??= startAnnouncer({
			...announceTo, superseded: () => {
				this.#rejoin();
			},
		}, () => this.#announcement());
	}

	async order(order: FaultOrder): Promise<void> {
		const before = this.#order.fault;
		this.#order = order;
		this.#left = order.requests ?? Number.POSITIVE_INFINITY;
		if (order.fault === Fault.refuse && before !== Fault.refuse) {
			await this.#close();
		} else if (before === Fault.refuse && order.fault !== Fault.refuse) {
			await this.#listen(Number(this.address.split(':').at(-1)));
		}
	}

	async drain(): Promise<void> {
		this.#leaving = true;
		while (this.#running > 0 || (this.announcer?.grants.length ?? 0) > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, drainPollMilliseconds);
			});
		}

		await this.stop();
	}

	async stop(): Promise<void> {
		this.announcer?.stop();
		await this.#close();
	}

	get #port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async #listen(port: number): Promise<void> {
		this.#server.listen(port, this.#options.host);
		await once(this.#server, 'listening');
	}

	async #close(): Promise<void> {
		if (this.#server.listening) {
			const closed = once(this.#server, 'close');
			this.#server.close();
			this.#server.closeAllConnections();
			await closed;
		}
	}

	#rejoin(): void {
		if (this.#options.rejoins) {
			this.#incarnation = Math.max(this.#incarnation + 1, wallNow());
		}
	}

	#announcement(): Announcement {
		const {
			service, name, region, zone, slots,
		} = this.#options;
		return {
			service, name, incarnation: this.#incarnation, region, zone, address: this.address, leaving: this.#leaving, load: Math.min(1, this.#running / slots),
		};
	}

	async #meet(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const began = monotonicNow();
		try {
			const body = await bodyOf(request);
			await (request.url!.startsWith('/stand-in/') ? this.#control(request.url!, body, response) : this.#serve(request, response, began));
		} catch {
			response.destroy();
		}
	}

	async #control(path: string, body: string, response: ServerResponse): Promise<void> {
		if (path === '/stand-in/ran') {
			endJson(response, Object.fromEntries(this.ran));
			return;
		}

		const order = path === '/stand-in/fault' ? readFaultOrder(body) : undefined;
		endJson(response, {accepted: order !== undefined}, order === undefined ? 400 : 200);
		if (order !== undefined) {
			await this.#orderFor(order);
		}
	}

	async #orderFor(order: FaultOrder): Promise<void> {
		if (order.forMilliseconds !== undefined) {
			setTimeout(() => {
				void this.order(noFault);
			}, order.forMilliseconds);
		}

		await this.order(order);
	}

	async #serve(request: IncomingMessage, response: ServerResponse, began: number): Promise<void> {
		this.lastHeaders = request.headers;
		const order = this.#nextOrder();
		if (answers[order.fault].runs) {
			await this.#slot();
		}

		try {
			await this.#answer(request, response, {order, began});
		} finally {
			if (answers[order.fault].runs) {
				this.#running--;
				this.#waiting.shift()?.();
			}
		}
	}

	async #answer(request: IncomingMessage, response: ServerResponse, met: {readonly order: FaultOrder; readonly began: number}): Promise<void> {
		const deadline = Number(request.headers[HeaderName.deadline] ?? Number.POSITIVE_INFINITY);
		if (!this.#mayServe(request)) {
			endJson(response, {ran: false}, misdirected);
		} else if (monotonicNow() - met.began > deadline || request.socket.destroyed) {
			endJson(response, {ran: false}, deadlinePassed);
		} else {
			await this.#run(request, response, met.order);
		}
	}

	async #run(request: IncomingMessage, response: ServerResponse, order: FaultOrder): Promise<void> {
		const operation = String(request.headers[operationHeader] ?? '');
		const {runs, answer} = answers[order.fault];
		if (runs) {
			this.#count(operation, request.url!);
			await this.#work();
		}

		const body = JSON.stringify({
			operation, served: this.#keys.get(request.url!) ?? 0, upstream: this.#options.name, fence: Number(request.headers[HeaderName.fence] ?? 0),
		});
		answer({
			request, response, order, operation, body: body.padEnd(this.#options.answerBytes),
		});
	}

	#count(operation: string, key: string): void {
		this.#keys.set(key, (this.#keys.get(key) ?? 0) + 1);
		if (operation !== '') {
			this.ran.set(operation, (this.ran.get(operation) ?? 0) + 1);
		}
	}

	async #work(): Promise<void> {
		if (this.#options.workMilliseconds > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, this.#options.workMilliseconds);
			});
		}
	}

	async #slot(): Promise<void> {
		if (this.#running >= this.#options.slots) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		}

		this.#running++;
	}

	#nextOrder(): FaultOrder {
		if (this.#left <= 0) {
			this.#order = noFault;
			this.#left = Number.POSITIVE_INFINITY;
		}

		this.#left--;
		return this.#order;
	}

	#mayServe(request: IncomingMessage): boolean {
		const slot = Number(request.headers[HeaderName.slot]);
		const fence = Number(request.headers[HeaderName.fence]);
		const newest = this.#fences.get(slot) ?? 0;
		if (!this.#options.checksFence || Number.isNaN(fence)) {
			return true;
		}

		this.#fences.set(slot, Math.max(newest, fence));
		return fence >= newest;
	}
}

/** Starts a stand-in upstream. */
export async function startUpstream(options: Partial<UpstreamOptions> = {}): Promise<StandInUpstream> {
	const upstream = new Upstream({...defaultUpstreamOptions, ...options});
	await upstream.start();
	return upstream;
}
