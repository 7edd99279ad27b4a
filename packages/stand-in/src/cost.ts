/**
 * Measures what the request path costs beside a bare forwarder, in interleaved
 * rounds of one run.
 */
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {
	command, number, option, optional, run, string,
} from 'cmd-ts';
import {type CallerReport, percentile, runCaller} from './caller.js';
import {costChildren} from './cost-children.js';

type CostSettings = {
	readonly entry: string | undefined;
	readonly upstream: string | undefined;
	readonly path: string;
	readonly rounds: number;
	readonly seconds: number;
	readonly connections: number;
};

type Figures = {
	readonly requestsPerSecond: number;
	readonly median: number;
	readonly slowest: number;
	readonly bad: number;
	/** The processor time of the forwarder for one request, in microseconds. Absent for a process that this tool did not start. */
	readonly processorTime: number | undefined;
};

/** A process that is loaded. */
type Subject = {readonly address: string; readonly child: ChildProcess | undefined};

const millisecondsPerSecond = 1000;
const paths = 1000;

async function startChild(script: string, role: string, upstreamAddress: string): Promise<Subject & {readonly child: ChildProcess}> {
	const child = fork(script, ['--role', role, '--upstream', upstreamAddress]);
	const [address] = await once(child, 'message') as [string];
	return {child, address};
}

/** Runs as one of the processes that the measurement starts. */
async function runAsChild(role: string, upstreamAddress: string): Promise<void> {
	process.send!(await costChildren[role]!(upstreamAddress));
	process.on('message', () => {
		const {user, system} = process.cpuUsage();
		process.send!(user + system);
	});
	process.on('disconnect', () => process.exit());
}

async function processorTimeOf(subject: Subject): Promise<number | undefined> {
	if (subject.child === undefined) {
		return undefined;
	}

	subject.child.send('processor time');
	const [microseconds] = await once(subject.child, 'message') as [number];
	return microseconds;
}

function figuresOf(report: CallerReport, processorTime: number | undefined): Figures {
	const bad = report.sent - (report.statuses['200'] ?? 0) + report.foreign;
	return {
		requestsPerSecond: report.latencies.length / report.elapsedMilliseconds * millisecondsPerSecond,
		median: percentile(report.latencies, 0.5),
		slowest: percentile(report.latencies, 0.99),
		bad,
		processorTime: processorTime === undefined ? undefined : processorTime / report.sent,
	};
}

async function measure(subject: Subject, settings: CostSettings): Promise<Figures> {
	const before = await processorTimeOf(subject);
	const report = await runCaller({
		address: subject.address,
		paths: Array.from({length: paths}, (_, position) => `${settings.path}/key-${position}`),
		method: 'GET',
		connections: settings.connections,
		requests: Number.POSITIVE_INFINITY,
		longestMilliseconds: settings.seconds * millisecondsPerSecond,
		name: 'cost',
	});
	const after = await processorTimeOf(subject);
	return figuresOf(report, before === undefined || after === undefined ? undefined : after - before);
}

function row(name: string, figures: Figures): string {
	const columns = [figures.requestsPerSecond.toFixed(0), figures.median.toFixed(2), figures.slowest.toFixed(2), String(figures.bad), figures.processorTime?.toFixed(0) ?? '-'];
	return [name.padEnd(16), ...columns.map(column => column.padStart(12))].join('');
}

function middle(values: readonly number[]): number {
	return [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)]!;
}

async function measureRounds(subjects: {readonly entry: Subject; readonly bare: Subject}, settings: CostSettings): Promise<void> {
	const ratios: Array<{readonly rate: number; readonly slowest: number}> = [];
	await measure(subjects.entry, {...settings, seconds: 1});
	await measure(subjects.bare, {...settings, seconds: 1});
	for (let round = 0; round < settings.rounds; round++) {
		const entry = await measure(subjects.entry, settings);
		const bare = await measure(subjects.bare, settings);
		console.log(row('entry', entry));
		console.log(row('bare forwarder', bare));
		ratios.push({rate: entry.requestsPerSecond / bare.requestsPerSecond, slowest: entry.slowest / bare.slowest});
	}

	const rate = middle(ratios.map(ratio => ratio.rate)).toFixed(2);
	const slowest = middle(ratios.map(ratio => ratio.slowest)).toFixed(2);
	console.log(`entry / bare, median of ${settings.rounds} rounds: requests a second ${rate}, 99th latency ${slowest}`);
}

async function measureAll(script: string, settings: CostSettings): Promise<void> {
	const children: ChildProcess[] = [];
	const start = async (role: string, upstreamAddress: string): Promise<Subject> => {
		const subject = await startChild(script, role, upstreamAddress);
		children.push(subject.child);
		return subject;
	};

	const upstream = settings.upstream === undefined ? await start('upstream', '') : {address: settings.upstream};
	const bare = await start('bare', upstream.address);
	const entry = settings.entry === undefined ? await start('forwarder', upstream.address) : {address: settings.entry, child: undefined};
	console.log(['what'.padEnd(16), ...['requests/s', 'p50 ms', 'p99 ms', 'bad', 'CPU us/req'].map(column => column.padStart(12))].join(''));
	await measureRounds({entry, bare}, settings);
	for (const child of children) {
		child.disconnect();
	}
}

const costCommand = (script: string) => command({
	name: 'cost',
	description: 'Measures an entry instance beside a bare forwarder. Without --entry: the forwarder alone, with a fixed owner.',
	args: {
		role: option({type: optional(string), long: 'role', description: 'for the processes that this tool starts'}),
		entry: option({type: optional(string), long: 'entry', description: 'the address for callers of an entry instance'}),
		upstream: option({type: optional(string), long: 'upstream', description: 'the address of the upstream that the entry instance routes to'}),
		path: option({type: string, long: 'path', defaultValue: () => '/schedule'}),
		rounds: option({type: number, long: 'rounds', defaultValue: () => 5}),
		seconds: option({type: number, long: 'seconds', defaultValue: () => 3}),
		connections: option({type: number, long: 'connections', defaultValue: () => 32}),
	},
	handler: async ({role, ...settings}) => role === undefined ? measureAll(script, settings) : runAsChild(role, settings.upstream ?? ''),
});

/** Runs the command with the words of a command line; `script` is the program to start processes with. */
export async function runCostCommand(script: string, words: readonly string[]): Promise<void> {
	await run(costCommand(script), [...words]);
}
