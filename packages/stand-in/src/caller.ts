/**
 * A small bounded caller: it loads one address and checks that each answer is
 * whole and the answer to its own request.
 */
import {Pool} from 'undici';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {operationHeader} from './answers.js';

/** How a caller loads an address. */
export type CallerOptions = {
	/** As `IP:port`. */
	readonly address: string;
	/** The paths that are asked in turn. */
	readonly paths: readonly string[];
	readonly method: 'GET' | 'POST';
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly connections: number;
	/** Ends after this many requests. */
	readonly requests: number;
	/** Ends after this time, if it comes first. */
	readonly longestMilliseconds: Milliseconds;
	/** Begins the names of the operations. */
	readonly name: string;
};

/** What a caller saw. */
export type CallerReport = {
	readonly sent: number;
	/** Answers by status. */
	readonly statuses: Readonly<Record<string, number>>;
	/** Requests that ended without an answer. */
	readonly broken: number;
	/** Whole answers with a good status that were not to the caller's own request. */
	readonly foreign: number;
	/** Of whole answers, in milliseconds, sorted. */
	readonly latencies: readonly Milliseconds[];
	readonly elapsedMilliseconds: Milliseconds;
};

type Tally = {
	sent: number;
	broken: number;
	foreign: number;
	readonly statuses: Record<string, number>;
	readonly latencies: Milliseconds[];
};

const firstBadStatus = 300;

/** The latency below which a share of the sorted latencies lies. */
export function percentile(latencies: readonly Milliseconds[], share: number): Milliseconds {
	return latencies[Math.min(latencies.length - 1, Math.floor(latencies.length * share))] ?? 0;
}

async function callOnce(pool: Pool, options: CallerOptions, tally: Tally): Promise<void> {
	const sequence = tally.sent++;
	const operation = `${options.name}-${sequence}`;
	const began = monotonicNow();
	try {
		const answer = await pool.request({
			path: options.paths[sequence % options.paths.length]!,
			method: options.method,
			headers: {...options.headers, [operationHeader]: operation},
			body: options.body ?? null,
		});
		await answer.body.arrayBuffer();
		tally.latencies.push(monotonicNow() - began);
		tally.statuses[answer.statusCode] = (tally.statuses[answer.statusCode] ?? 0) + 1;
		tally.foreign += answer.statusCode < firstBadStatus && answer.headers[operationHeader] !== operation ? 1 : 0;
	} catch {
		tally.broken++;
	}
}

/** Opens the connections of a caller, to be kept over several runs. Close them after the last. */
export function openConnections({address, connections}: Pick<CallerOptions, 'address' | 'connections'>): Pool {
	return new Pool(`http://${address}`, {connections, pipelining: 1});
}

/** Loads an address through open connections and reports once all requests are over. */
export async function runThrough(pool: Pool, options: CallerOptions): Promise<CallerReport> {
	const tally: Tally = {
		sent: 0, broken: 0, foreign: 0, statuses: {}, latencies: [],
	};
	const began = monotonicNow();
	const repeat = async () => {
		while (tally.sent < options.requests && monotonicNow() - began < options.longestMilliseconds) {
			await callOnce(pool, options, tally);
		}
	};

	await Promise.all(Array.from({length: options.connections}, repeat));
	const elapsedMilliseconds = monotonicNow() - began;
	return {...tally, latencies: tally.latencies.sort((one, other) => one - other), elapsedMilliseconds};
}

/** Loads an address and reports once all requests are over. */
export async function runCaller(options: CallerOptions): Promise<CallerReport> {
	const pool = openConnections(options);
	const report = await runThrough(pool, options);
	await pool.close();
	return report;
}
