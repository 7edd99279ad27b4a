/**
 * Measures what control costs an idle instance, by its role, as slots,
 * services, upstreams and instances grow, and what it costs in all to take the
 * services in. Prints a table and the totals.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {request} from 'undici';
import {type Deployment, startDeployment, type TrialInstance} from './deployment.js';

/** One size that is measured. */
type Size = {
	readonly instances: number;
	readonly services: number;
	readonly slots: number;
	readonly upstreams: number;
};

type Figures = {
	readonly processorMilliseconds: number;
	readonly peerBytes: number;
	/** The newest log entry that the instance has applied. */
	readonly applied: number;
	readonly residentBytes: number;
	readonly leader: boolean;
	readonly steward: boolean;
	readonly voter: boolean;
};

const zones = [
	{region: 'noord', zone: 'noord-a'},
	{region: 'noord', zone: 'noord-b'},
	{region: 'zuid', zone: 'zuid-a'},
	{region: 'zuid', zone: 'zuid-b'},
];

const sizes: readonly Size[] = [
	{
		instances: 4, services: 0, slots: 0, upstreams: 0,
	},
	{
		instances: 4, services: 1, slots: 256, upstreams: 4,
	},
	{
		instances: 4, services: 1, slots: 16_384, upstreams: 4,
	},
	{
		instances: 4, services: 1, slots: 256, upstreams: 16,
	},
	{
		instances: 16, services: 1, slots: 256, upstreams: 4,
	},
];

/** A size is measured when no instance has applied anything for this long. */
const settleMilliseconds = 6000;
/** A size that isn't settled by then is measured all the same, and said to be unsettled. */
const longestSettleMilliseconds = 60_000;
const pollMilliseconds = 1000;
const measureMilliseconds = 6000;
const bytesPerMebibyte = 1_048_576;

function measureIn(text: string, name: string): number {
	return Number(new RegExp(`^${name} (\\S+)$`, 'mv').exec(text)?.[1] ?? 0);
}

async function figuresOf(instance: TrialInstance): Promise<Figures> {
	const {body} = await request(`http://${instance.addresses.operators}/metrics`);
	const text = await body.text();
	return {
		processorMilliseconds: measureIn(text, 'dogwooddeck_processor_milliseconds_total'),
		peerBytes: instance.proxy.passed(),
		applied: measureIn(text, 'dogwooddeck_applied_index'),
		residentBytes: measureIn(text, 'dogwooddeck_resident_bytes'),
		leader: measureIn(text, 'dogwooddeck_leader') === 1,
		steward: measureIn(text, 'dogwooddeck_steward') === 1,
		voter: instance.voter,
	};
}

async function allFigures({instances}: Deployment): Promise<readonly Figures[]> {
	return Promise.all(instances.map(async instance => figuresOf(instance)));
}

async function writeTeam(deployment: Deployment, size: Size): Promise<string> {
	const folder = path.join(deployment.folder, 'sized');
	await mkdir(folder, {recursive: true});
	await writeFile(path.join(folder, 'team.toml'), 'team = "sized"\n');
	for (let number = 0; number < size.services; number++) {
		await writeFile(path.join(folder, `service-${number}.toml`), [
			`prefix = "/service-${number}"`,
			`slots = ${size.slots}`,
			'[key]',
			'place = "path"',
			'segment = 0',
			'',
		].join('\n'));
	}

	return folder;
}

async function fill(deployment: Deployment, size: Size): Promise<void> {
	if (size.services === 0) {
		return;
	}

	const applied = await deployment.control('apply', await writeTeam(deployment, size), '--wait');
	if (applied.code !== 0) {
		process.stdout.write(applied.output);
	}

	for (let number = 0; number < size.upstreams; number++) {
		deployment.startUpstream({
			service: `sized/service-${number % size.services}`, name: `upstream-${number}`, ...zones[number % zones.length]!, checksFence: false,
		});
	}
}

function roleOf({leader, steward, voter}: Figures): string {
	const roles = [...(leader ? ['leader'] : []), ...(steward ? ['steward'] : []), ...(voter && !leader ? ['voter'] : [])];
	return roles.length === 0 ? 'entry' : roles.join('+');
}

function line(cells: ReadonlyArray<string | number>): string {
	return `| ${cells.join(' | ')} |\n`;
}

function report(size: Size, before: readonly Figures[], after: readonly Figures[]): void {
	const seconds = measureMilliseconds / 1000;
	const roles = new Map<string, Array<{readonly processor: number; readonly bytes: number; readonly resident: number}>>();
	for (const [position, last] of after.entries()) {
		const first = before[position]!;
		const row = {
			processor: (last.processorMilliseconds - first.processorMilliseconds) / seconds,
			bytes: (last.peerBytes - first.peerBytes) / seconds,
			resident: last.residentBytes,
		};
		roles.set(roleOf(last), [...roles.get(roleOf(last)) ?? [], row]);
	}

	for (const [role, rows] of roles) {
		const mean = (pick: (row: typeof rows[number]) => number) => rows.reduce((sum, row) => sum + pick(row), 0) / rows.length;
		process.stdout.write(line([
			size.instances,
			size.services,
			size.slots,
			size.upstreams,
			`${role} (${rows.length})`,
			mean(row => row.processor).toFixed(1),
			Math.round(mean(row => row.bytes)),
			Math.round(mean(row => row.resident) / bytesPerMebibyte),
		]));
	}
}

function sumOf(figures: readonly Figures[], pick: (figure: Figures) => number): number {
	return figures.reduce((sum, figure) => sum + pick(figure), 0);
}

/** What it cost to take a size in, from before its subtree was applied until the log was at rest. */
function fillCost({slots, upstreams}: Size, empty: readonly Figures[], settled: readonly Figures[]): string {
	const processor = sumOf(settled, figure => figure.processorMilliseconds) - sumOf(empty, figure => figure.processorMilliseconds);
	const bytes = sumOf(settled, figure => figure.peerBytes) - sumOf(empty, figure => figure.peerBytes);
	return `${settled.length} instances, ${slots} slots, ${upstreams} upstreams, until at rest: ${processor.toFixed(0)} ms of processor time and ${bytes} peer bytes in all\n`;
}

/** Whether the log came to rest in time. */
async function settles(deployment: Deployment): Promise<boolean> {
	const end = monotonicNow() + longestSettleMilliseconds;
	let restsFrom = monotonicNow();
	let last = '';
	while (monotonicNow() < end) {
		const figures = await allFigures(deployment);
		const applied = figures.map(figure => figure.applied).join(' ');
		restsFrom = applied === last ? restsFrom : monotonicNow();
		last = applied;
		if (monotonicNow() - restsFrom >= settleMilliseconds) {
			return true;
		}

		await pause(pollMilliseconds);
	}

	return false;
}

async function measure(size: Size): Promise<string> {
	const deployment = await startDeployment(Array.from({length: size.instances}, (_, number) => ({
		...zones[number % zones.length]!, name: `entry-${number}`, voter: number < 3,
	})));
	try {
		await deployment.ready();
		const empty = await allFigures(deployment);
		await fill(deployment, size);
		if (!await settles(deployment)) {
			process.stdout.write(`not settled within ${longestSettleMilliseconds} ms: `);
		}

		const before = await allFigures(deployment);
		await pause(measureMilliseconds);
		const after = await allFigures(deployment);
		report(size, before, after);
		return fillCost(size, empty, before);
	} finally {
		await deployment.close();
	}
}

/** Measures all sizes in turn. */
export async function main(): Promise<void> {
	process.stdout.write(line(['instances', 'services', 'slots each', 'upstreams', 'role', 'processor ms/s', 'peer bytes/s', 'resident MiB']));
	process.stdout.write(line(Array.from({length: 8}, () => '---')));
	const fills: string[] = [];
	for (const size of sizes) {
		fills.push(await measure(size));
	}

	process.stdout.write(`\n${fills.join('')}`);
}
