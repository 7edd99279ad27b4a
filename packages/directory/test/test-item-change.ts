import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {FailureKind} from '@dogwooddeck/model/failure';
import {type ItemChange, noItems, type Route} from '@dogwooddeck/directory/item';
import {changeItems} from '@dogwooddeck/directory/item-change';

const validRoute: Route = {
	hostname: 'a.example', pathPrefix: '/a/', idempotent: true, timeoutMilliseconds: 1000, objectiveMilliseconds: 500, priority: 1, maxAttempts: 2, targets: [{service: 's', weight: 1}],
};

function route(version: number, fields: Partial<Route> = {}, name = 'r'): ItemChange {
	const value = {...validRoute, ...fields};
	return {kind: 'route', name, item: {version, value, document: JSON.stringify(value)}};
}

function service(version: number, name = 's'): ItemChange {
	return {kind: 'service', name, item: {version, value: {keyed: false, maxConnections: 10}, document: `service ${name}`}};
}

function drop(kind: 'route' | 'service', name: string, version: number): ItemChange {
	return {kind, name, item: {version}};
}

const currentItems = changeItems(noItems, [service(3), route(3)]).unwrapOr(noItems);

const accepted: ReadonlyArray<{readonly name: string; readonly changes: ReadonlyArray<readonly ItemChange[]>; readonly version: number; readonly isDefined: boolean; readonly timeout?: number}> = [
	{
		name: 'a higher version replaces the item', changes: [[route(5, {timeoutMilliseconds: 9})]], version: 5, isDefined: true, timeout: 9,
	},
	{
		name: 'a lower version has no effect', changes: [[route(2, {timeoutMilliseconds: 9})]], version: 3, isDefined: true, timeout: 1000,
	},
	{
		name: 'applying the same change again has no effect', changes: [[route(3)], [route(3)]], version: 3, isDefined: true, timeout: 1000,
	},
	{
		name: 'a drop leaves a tombstone', changes: [[drop('route', 'r', 4)]], version: 4, isDefined: false,
	},
	{
		name: 'a delayed older version does not undo a drop', changes: [[drop('route', 'r', 6)], [route(5)]], version: 6, isDefined: false,
	},
	{
		name: 'a higher version restores a dropped item', changes: [[drop('route', 'r', 6)], [route(7)]], version: 7, isDefined: true, timeout: 1000,
	},
	{
		name: 'a change that arrives out of order may name a service that was dropped since', changes: [[service(4, 't')], [route(5, {targets: [{service: 't', weight: 1}]})], [route(6)], [drop('service', 't', 5)], [route(5, {targets: [{service: 't', weight: 1}]})]], version: 6, isDefined: true, timeout: 1000,
	},
];

for (const {name, changes, version, isDefined, timeout} of accepted) {
	test(`items: ${name}`, () => {
		let items = currentItems;
		for (const change of changes) {
			const changed = changeItems(items, change);
			assert.ok(changed.isOk, changed.isErr ? changed.error.detail : '');
			items = changed.value;
		}

		const item = items.route.r;
		assert.deepEqual([item?.version, item?.value !== undefined, item?.value?.timeoutMilliseconds], [version, isDefined, timeout]);
	});
}

const rejected: ReadonlyArray<{readonly name: string; readonly changes: readonly ItemChange[]; readonly kind: FailureKind}> = [
	{
		name: 'an unknown service', changes: [route(9, {targets: [{service: 'nowhere', weight: 1}]})], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'an unknown service in a change that arrives out of order', changes: [route(1, {targets: [{service: 'nowhere', weight: 1}]})], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'a zero total weight', changes: [route(9, {targets: [{service: 's', weight: 0}]})], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'no target', changes: [route(9, {targets: []})], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'a timeout over ten minutes', changes: [route(9, {timeoutMilliseconds: 600_001})], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'a zero timeout', changes: [route(9, {timeoutMilliseconds: 0})], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'an objective a minute above the timeout', changes: [route(9, {objectiveMilliseconds: 61_000})], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'a prefix without a slash', changes: [route(9, {pathPrefix: 'a/'})], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'a name that every object inherits', changes: [route(9, {}, 'constructor')], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'dropping a service that a route needs', changes: [drop('service', 's', 9)], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'different content under the current version', changes: [route(3, {timeoutMilliseconds: 9})], kind: FailureKind.conflict,
	},
	{
		name: 'one bad item beside a good one', changes: [route(9, {}, 'good'), route(9, {targets: []})], kind: FailureKind.settingsInvalid,
	},
];

for (const {name, changes, kind} of rejected) {
	test(`items: rejects ${name}`, () => {
		const changed = changeItems(currentItems, changes);
		assert.ok(changed.isErr);
		assert.equal(changed.error.kind, kind);
	});
}

/** Returns the processor time of one change of `count` routes, in microseconds: the minimum of 5 runs. */
function costOf(count: number): number {
	const changes = Array.from({length: count}, (_, position) => route(5, {pathPrefix: `/${position}/`}, `r${position}`));
	const costs = Array.from({length: 5}, () => {
		const before = process.cpuUsage();
		assert.ok(changeItems(currentItems, changes).isOk);
		const {user, system} = process.cpuUsage(before);
		return user + system;
	});
	return Math.min(...costs);
}

test('items: a change of 16 times as many routes does not cost 100 times as much', () => {
	const [few, many] = [costOf(250), costOf(4000)];
	assert.ok(many < 100 * few, `250 routes cost ${few} µs, 4000 routes ${many} µs`);
});
