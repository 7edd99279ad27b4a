/**
 * Measures what the request path costs beside a bare forwarder, in short
 * interleaved rounds of one run, over connections that stay open.
 */
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {
	command, number, option, optional, run, string,
} from 'cmd-ts';
import {type Pool, request} from 'undici';
import {openConnections, runThrough} from './caller.js';
import {costChildren} from './cost-children.js';
import {
	processorRatios, type Quartiles, rateRatios, type Round, type RoundFigures, slowestRatios, type SubjectFigures, summarise,
} from './cost-figures.js';

type CostSettings = {
	readonly entry: string | undefined;
	readonly operators: string | undefined;
	readonly upstream: string | undefined;
	readonly path: string;
	readonly rounds: number;
	readonly seconds: number;
	readonly connections: number;
};

/** A process that is loaded. */
type Subject = {
	readonly address: string;
	readonly pool: Pool;
	/** Its processor time so far, in microseconds. Undefined where it can't be read. */
	readonly processorTime: () => Promise<number | undefined>;
};

/** The subjects by name. */
type Subjects = Readonly<Record<keyof Round, Subject>>;

type StartedChild = {readonly address: string; readonly child: ChildProcess};

const millisecondsPerSecond = 1000;
const microsecondsPerMillisecond = 1000;
const paths = 1000;
/** Each subject's load before the first round, so that its code is compiled. */
const warmUpSeconds = 4;

async function startChild(script: string, role: string, upstreamAddress: string): Promise<StartedChild> {
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

async function childTime(child: ChildProcess): Promise<number> {
	child.send('processor time');
	const [microseconds] = await once(child, 'message') as [number];
	return microseconds;
}

async function instanceTime(operators: string): Promise<number | undefined> {
	const {body} = await request(`http://${operators}/metrics`);
	const found = /^dogwooddeck_processor_milliseconds_total (\S+)$/mv.exec(await body.text());
	return found === null ? undefined : Number(found[1]) * microsecondsPerMillisecond;
}

async function measure(subject: Subject, settings: CostSettings): Promise<RoundFigures> {
	const before = await subject.processorTime();
	const report = await runThrough(subject.pool, {
		address: subject.address,
		paths: Array.from({length: paths}, (_, position) => `${settings.path}/key-${position}`),
		method: 'GET',
		connections: settings.connections,
		requests: Number.POSITIVE_INFINITY,
		longestMilliseconds: settings.seconds * millisecondsPerSecond,
		name: 'cost',
	});
	const after = await subject.processorTime();
	return {report, processorMicroseconds: before === undefined || after === undefined ? undefined : after - before};
}

/** Who goes first changes with each round, so that a machine that gets busier favours nobody. */
async function measureRound(subjects: Subjects, settings: CostSettings, position: number): Promise<Round> {
	if (position % 2 === 0) {
		const entry = await measure(subjects.entry, settings);
		return {entry, bare: await measure(subjects.bare, settings)};
	}

	const bare = await measure(subjects.bare, settings);
	return {entry: await measure(subjects.entry, settings), bare};
}

function row(columns: readonly string[]): string {
	const [name = '', ...figures] = columns;
	return [name.padEnd(20), ...figures.map(figure => figure.padStart(12))].join('');
}

function subjectRow(name: string, figures: SubjectFigures): string {
	return row([
		name,
		figures.requestsPerSecond.toFixed(0),
		figures.medianMilliseconds.toFixed(2),
		figures.slowestMilliseconds.toFixed(2),
		String(figures.bad),
		figures.processorMicrosecondsPerRequest?.toFixed(0) ?? '-',
	]);
}

function ratioRow(name: string, ratios: Quartiles | undefined): string {
	return row([name, ...[ratios?.median, ratios?.lower, ratios?.upper].map(ratio => ratio?.toFixed(2) ?? '-')]);
}

function print(rounds: readonly Round[]): void {
	console.log(row(['all rounds', 'requests/s', 'p50 ms', 'p99 ms', 'bad', 'CPU us/req']));
	console.log(subjectRow('entry', summarise(rounds.map(({entry}) => entry))));
	console.log(subjectRow('bare forwarder', summarise(rounds.map(({bare}) => bare))));
	console.log(row(['entry / bare', 'median', 'quartile', 'quartile']));
	console.log(ratioRow('requests/s', rateRatios(rounds)));
	console.log(ratioRow('p99', slowestRatios(rounds)));
	console.log(ratioRow('CPU us/req', processorRatios(rounds)));
}

async function measureRounds(subjects: Subjects, settings: CostSettings): Promise<void> {
	await measureRound(subjects, {...settings, seconds: warmUpSeconds}, 0);
	const rounds: Round[] = [];
	for (let position = 0; position < settings.rounds; position++) {
		rounds.push(await measureRound(subjects, settings, position));
	}

	print(rounds);
}

async function measureAll(script: string, settings: CostSettings): Promise<void> {
	const children: ChildProcess[] = [];
	const start = async (role: string, upstreamAddress: string): Promise<StartedChild> => {
		const started = await startChild(script, role, upstreamAddress);
		children.push(started.child);
		return started;
	};

	const subjectOf = (address: string, processorTime: Subject['processorTime']): Subject =>
		({address, pool: openConnections({address, connections: settings.connections}), processorTime});
	const subjectOfChild = ({address, child}: StartedChild) => subjectOf(address, async () => childTime(child));
	const {address: upstream} = settings.upstream === undefined ? await start('upstream', '') : {address: settings.upstream};
	const bare = subjectOfChild(await start('bare', upstream));
	const entry = settings.entry === undefined
		? subjectOfChild(await start('forwarder', upstream))
		: subjectOf(settings.entry, async () => settings.operators === undefined ? undefined : instanceTime(settings.operators));
	await measureRounds({entry, bare}, settings);
	await Promise.all([entry, bare].map(async ({pool}) => pool.close()));
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
		operators: option({type: optional(string), long: 'operators', description: 'the address for operators of the entry instance, to read its processor time'}),
		upstream: option({type: optional(string), long: 'upstream', description: 'the address of the upstream that the entry instance routes to'}),
		path: option({type: string, long: 'path', defaultValue: () => '/schedule'}),
		rounds: option({type: number, long: 'rounds', defaultValue: () => 21}),
		seconds: option({type: number, long: 'seconds', defaultValue: () => 0.5}),
		connections: option({type: number, long: 'connections', defaultValue: () => 32}),
	},
	handler: async ({role, ...settings}) => role === undefined ? measureAll(script, settings) : runAsChild(role, settings.upstream ?? ''),
});

/** Runs the command with the words of a command line; `script` is the program to start processes with. */
export async function runCostCommand(script: string, words: readonly string[]): Promise<void> {
	await run(costCommand(script), [...words]);
}
