/** What an entry instance sends to the upstreams of evacuated zones. Upstream `u0` is in zone `z`, `u1` in zone `y` of the same region, `u2` in zone `x` of another. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {type DirectoryState} from '@dogwooddeck/directory/state';
import {
	answer, type Behaviour, call, directoryOf, type Entry, hasHead, requestText, settings, type Upstream, whole, withEntry,
} from './scenario.js';
import {EvacuatedZones} from '@dogwooddeck/entry/evacuated-zones';

const zones = ['z', 'y', 'x'];
const {evacuationGraceMilliseconds} = settings;

type Order = {
	readonly evacuated: readonly string[];
	/** How long ago the directory was last known to be current, in milliseconds. */
	readonly ago?: number;
	readonly allowedRegions?: readonly string[];
	/** The upstream that holds all keys; by default the first. */
	readonly holder?: string | undefined;
};

/** A directory whose upstreams, in a zone each, all belong to the service of the path. */
function directoryWith(upstreams: readonly Upstream[], service: string, {evacuated, allowedRegions, holder}: Order): DirectoryState {
	const directory = directoryOf(upstreams);
	const records = Object.values(directory.upstreams).map((record, position) => [record.id, {...record, service, zone: zones[position]!}] as const);
	const routes = Object.entries(directory.items.route).map(([name, {version, value}]) => [name, {version, value: {...value!, ...(allowedRegions === undefined ? {} : {allowedRegions})}}] as const);
	const [{holder: _first, ...range}] = directory.keys.k as [DirectoryState['keys'][string][number]];
	return {
		...directory,
		items: {...directory.items, route: Object.fromEntries(routes)},
		upstreams: Object.fromEntries(records),
		keys: {k: [holder === undefined ? {...range, told: false} : {...range, holder: {id: holder, born: 1}}]},
		evacuatedZones: Object.fromEntries(evacuated.map((zone, index) => [zone, index + 1])),
	};
}

const services = {safe: 's', once: 's', keyed: 'k'} as const;
type Kind = keyof typeof services;

function giveOrder({table}: Entry, upstreams: readonly Upstream[], kind: Kind, order: Order): void {
	const {ago = 0} = order;
	table.update(directoryWith(upstreams, services[kind], {holder: 'u0', ...order}), 1, performance.now() - ago);
}

async function send({port}: Entry, kind: Kind, identifier: string): Promise<string> {
	return call(port, requestText(`/${kind}/x`, kind === 'keyed' ? `${identifier}\r\nKey: 5` : identifier), hasHead);
}

const refusedText = 'zone-evacuated\n';
const otherRegion = 'no-allowed-region\n';

/** `answeredBy` lists the upstreams of which each answers some of the requests. */
const choices: ReadonlyArray<{readonly name: string; readonly kind: Kind; readonly order: Order; readonly answeredBy: readonly string[]; readonly refused?: string}> = [
	{
		name: 'without orders', kind: 'safe', order: {evacuated: []}, answeredBy: ['u0'],
	},
	{
		name: 'the own zone is excluded at once', kind: 'safe', order: {evacuated: ['z']}, answeredBy: ['u1'],
	},
	{
		name: 'a region is excluded', kind: 'once', order: {evacuated: ['z', 'y']}, answeredBy: ['u2'],
	},
	{
		name: 'all zones', kind: 'safe', order: {evacuated: zones}, answeredBy: [], refused: refusedText,
	},
	{
		name: 'all zones of the only allowed region', kind: 'once', order: {evacuated: ['z', 'y'], allowedRegions: ['r']}, answeredBy: [], refused: refusedText,
	},
	{
		name: 'one zone of the only allowed region', kind: 'once', order: {evacuated: ['z'], allowedRegions: ['r']}, answeredBy: ['u1'],
	},
	{
		name: 'an allowed region without upstreams', kind: 'once', order: {evacuated: ['z'], allowedRegions: ['w']}, answeredBy: [], refused: otherRegion,
	},
	{
		name: 'the holder of a key within the grace', kind: 'keyed', order: {evacuated: ['z']}, answeredBy: ['u0'],
	},
	{
		name: 'the holder of a key after the grace', kind: 'keyed', order: {evacuated: ['z'], ago: evacuationGraceMilliseconds + 1}, answeredBy: [], refused: refusedText,
	},
	{
		name: 'the holder of a key if it is not known how old the order is', kind: 'keyed', order: {evacuated: ['z'], ago: Infinity}, answeredBy: [], refused: refusedText,
	},
	{
		name: 'the next holder of the key', kind: 'keyed', order: {evacuated: ['z'], ago: 60_000, holder: 'u1'}, answeredBy: ['u1'],
	},
	{
		name: 'a key without a holder, and all zones', kind: 'keyed', order: {evacuated: zones, holder: undefined}, answeredBy: [], refused: refusedText,
	},
];

for (const {name, kind, order, answeredBy, refused} of choices) {
	test(`evacuation: ${name}: ${refused?.trim() ?? answeredBy.join(', ')}`, async () => {
		await withEntry([whole, whole, whole], true, async (entry, upstreams) => {
			giveOrder(entry, upstreams, kind, order);
			const startedAt = performance.now();
			for (const identifier of ['a', 'b', 'c']) {
				const received = await send(entry, kind, identifier);
				assert.match(received, refused === undefined ? new RegExp(`for ${identifier}`, 'v') : /^HTTP\/1\.1 503 /v);
				assert.ok(received.endsWith(refused ?? ''), received);
				assert.equal(/^retry-after: /imv.test(received), refused !== undefined);
			}

			assert.ok(refused === undefined || performance.now() - startedAt < 200, 'at once');
			assert.deepEqual(upstreams.flatMap(({requests}, position) => requests.length > 0 ? [`u${position}`] : []), answeredBy);
		});
	});
}

const answersLate: Behaviour = (socket, request) => {
	setTimeout(() => {
		answer(socket, request, `for ${request.identifier}`);
	}, 150);
};

const breaksOff: Behaviour = socket => {
	socket.destroy();
};

function occupy(entry: Entry, service: string): void {
	for (const {load} of entry.table.service(service).upstreams) {
		load.inFlight = 99;
	}
}

type Flow = {
	readonly name: string;
	readonly kind: Kind;
	readonly behaviour?: Behaviour;
	readonly use: (entry: Entry, upstreams: readonly Upstream[]) => Promise<void>;
};

const flows: readonly Flow[] = [
	{
		name: 'a request that runs already is completed',
		kind: 'once',
		behaviour: answersLate,
		async use(entry, upstreams) {
			const pending = send(entry, 'once', 'a');
			await pause(60);
			giveOrder(entry, upstreams, 'once', {evacuated: ['z']});
			assert.match(await pending, /for a/v);
			assert.match(await send(entry, 'once', 'b'), /for b/v);
			assert.deepEqual(upstreams.map(({requests}) => requests.length), [1, 1, 0]);
		},
	},
	{
		name: 'a waiting request is refused when the last zone is evacuated',
		kind: 'safe',
		async use(entry, upstreams) {
			occupy(entry, 's');
			const pending = send(entry, 'safe', 'a');
			await pause(40);
			giveOrder(entry, upstreams, 'safe', {evacuated: zones});
			assert.match(await pending, new RegExp(`503 .*${refusedText}`, 'sv'));
			assert.deepEqual(upstreams.map(({requests}) => requests.length), [0, 0, 0]);
		},
	},
	{
		name: 'a request for a key is refused when the grace of its holder ends while it waits',
		kind: 'keyed',
		async use(entry, upstreams) {
			occupy(entry, 'k');
			giveOrder(entry, upstreams, 'keyed', {evacuated: ['z'], ago: evacuationGraceMilliseconds - 60});
			assert.match(await send(entry, 'keyed', 'a'), new RegExp(`503 .*${refusedText}`, 'sv'));
			assert.equal(upstreams[0]!.requests.length, 0);
		},
	},
	{
		name: 'a request whose connection is being opened goes to another zone',
		kind: 'safe',
		async use(entry, upstreams) {
			const {pool} = entry.table.service('s').upstreams.find(({id}) => id === 'u0')!;
			const original = pool.send.bind(pool);
			pool.send = specification => {
				const attempt = original(specification);
				giveOrder(entry, upstreams, 'safe', {evacuated: ['z']});
				return attempt;
			};

			assert.match(await send(entry, 'safe', 'a'), /for a/v);
			assert.deepEqual(upstreams.map(({requests}) => requests.length), [0, 1, 0]);
		},
	},
	{
		name: 'a retry goes to another zone',
		kind: 'safe',
		async use(entry, upstreams) {
			upstreams[0]!.server.on('connection', socket => {
				socket.on('data', () => {
					giveOrder(entry, upstreams, 'safe', {evacuated: ['z']});
				});
			});
			assert.match(await send(entry, 'safe', 'a'), /for a/v);
			assert.deepEqual(upstreams.map(({requests}) => requests.length), [1, 1, 0]);
		},
		behaviour: breaksOff,
	},
	{
		name: 'a request that may have run is not refused as not run',
		kind: 'safe',
		async use(entry, upstreams) {
			upstreams[0]!.server.on('connection', socket => {
				socket.on('data', () => {
					giveOrder(entry, upstreams, 'safe', {evacuated: zones});
				});
			});
			assert.match(await send(entry, 'safe', 'a'), new RegExp(`^HTTP\\/1\\.1 502 .*${refusedText}`, 'sv'));
			assert.deepEqual(upstreams.map(({requests}) => requests.length), [1, 0, 0]);
		},
		behaviour: breaksOff,
	},
	{
		name: 'a restored zone is used again',
		kind: 'safe',
		async use(entry, upstreams) {
			giveOrder(entry, upstreams, 'safe', {evacuated: zones});
			assert.match(await send(entry, 'safe', 'a'), /503/v);
			giveOrder(entry, upstreams, 'safe', {evacuated: ['y']});
			assert.match(await send(entry, 'safe', 'b'), /for b/v);
			assert.deepEqual(upstreams.map(({requests}) => requests.length), [1, 0, 0]);
		},
	},
];

for (const {name, kind, behaviour = whole, use} of flows) {
	test(`evacuation: ${name}`, async () => {
		await withEntry([behaviour, whole, whole], true, async (entry, upstreams) => {
			giveOrder(entry, upstreams, kind, {evacuated: []});
			await use(entry, upstreams);
		});
	});
}

type Update = {readonly evacuated: Readonly<Record<string, number>>; readonly currentAt: number};

const graces: ReadonlyArray<{readonly name: string; readonly updates: readonly Update[]; readonly closedFrom: number | undefined}> = [
	{name: 'counts from the last time without the order', updates: [{evacuated: {z: 5}, currentAt: 1000}], closedFrom: 1300},
	{name: 'is none for an order of unknown age', updates: [{evacuated: {z: 5}, currentAt: -Infinity}], closedFrom: -Infinity},
	{name: 'is not prolonged by later changes', updates: [{evacuated: {z: 5}, currentAt: 1000}, {evacuated: {z: 5, y: 9}, currentAt: 1200}], closedFrom: 1300},
	{name: 'ends with the order', updates: [{evacuated: {z: 5}, currentAt: 1000}, {evacuated: {}, currentAt: 1100}], closedFrom: undefined},
	{name: 'begins anew with a further order', updates: [{evacuated: {z: 5}, currentAt: 1000}, {evacuated: {z: 9}, currentAt: 8000}], closedFrom: 8300},
];

for (const {name, updates, closedFrom} of graces) {
	test(`evacuation: the grace of a zone ${name}`, () => {
		const evacuated = new EvacuatedZones(300);
		for (const update of updates) {
			evacuated.update(update.evacuated, update.currentAt);
		}

		assert.equal(evacuated.has('z'), closedFrom !== undefined);
		for (const now of [0, 1299, 1300, 8299, 8300]) {
			assert.equal(evacuated.isClosed('z', now), closedFrom !== undefined && now >= closedFrom, `at ${now}`);
		}
	});
}
