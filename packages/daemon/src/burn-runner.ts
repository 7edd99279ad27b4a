/**
 * Counts requests for the service-level objectives, journals the intervals to disk
 * if a folder is configured, and collects the input of the burn report from all
 * instances.
 */
import {
	appendFile, mkdir, readFile, rename, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import {monotonicNow, wallNow} from '@dogwooddeck/clock/monotonic';
import {
	decodeJournal, encodeInterval, encodeJournal, isInstanceBurn,
} from '@dogwooddeck/burn/encoding';
import {completionStatusOf} from '@dogwooddeck/burn/judgement';
import {LoadRecorder} from '@dogwooddeck/burn/load';
import {BurnRecorder} from '@dogwooddeck/burn/recorder';
import {type BurnInput} from '@dogwooddeck/burn/report';
import {
	type BurnInterval, foldIntervals, type InstanceBurn, intervalMilliseconds, intervalStart,
} from '@dogwooddeck/burn/window';
import {contractsOf} from '@dogwooddeck/configuration/tree';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceName, type UpstreamIdentity, type WallTime} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {type RequestReport} from '@dogwooddeck/upstream-client/request-path';
import {type ControlHolder} from './control-holder.js';
import {createOwnershipFiguresTracker} from './ownership-figures.js';

/** Counts the requests of this instance for the burn report. */
export type BurnRunner = {
	/** Counts a completed request against the objectives of its contract. */
	readonly record: (contract: ServiceContract, idempotent: boolean, report: RequestReport) => void;
	/** Counts a request that was sent to an upstream. */
	readonly sent: (upstream: UpstreamIdentity) => void;
	/** Returns the counts of this instance. */
	readonly ownCounts: () => InstanceBurn;
	/** Returns the report's input, with the counts of all other instances that answer. */
	readonly input: () => Promise<BurnInput>;
	/** Writes the current interval to the journal and stops. */
	readonly stop: () => Promise<void>;
};

/** The collaborators of the runner. */
export type BurnDependencies = {
	readonly name: InstanceName;
	readonly holder: ControlHolder;
	/** The folder of the journal. If absent, counts are lost when the process ends. */
	readonly folder?: string;
	/** Requests the counts of another instance, as JSON; undefined if it can't be reached. */
	readonly requestCounts: (member: InstanceRecord) => Promise<string | undefined>;
};

/** Intervals that are appended before the journal is rewritten. */
const appendsBeforeRewrite = 360;

async function readJournal(file: string | undefined): Promise<readonly BurnInterval[]> {
	if (file === undefined) {
		return [];
	}

	try {
		return decodeJournal(await readFile(file, 'utf8')).intervals;
	} catch {
		return [];
	}
}

function parseInstanceBurn(text: string | undefined): readonly InstanceBurn[] {
	try {
		const value: unknown = JSON.parse(text ?? '');
		return isInstanceBurn(value) ? [value] : [];
	} catch {
		return [];
	}
}

/** Reads the journal and starts to count. */
export async function startBurnRunner(dependencies: BurnDependencies): Promise<BurnRunner> {
	const {name, holder} = dependencies;
	const file = dependencies.folder === undefined ? undefined : path.join(dependencies.folder, 'burn.jsonl');
	const recorder = new BurnRecorder();
	const loads = new LoadRecorder(monotonicNow());
	const ownershipFigures = createOwnershipFiguresTracker(holder);
	if (dependencies.folder !== undefined) {
		await mkdir(dependencies.folder, {recursive: true});
	}

	let intervals = await readJournal(file);
	let startedAt = wallNow();
	let appends = 0;
	let pendingWrite: Promise<void> = Promise.resolve();

	async function write(interval: BurnInterval): Promise<void> {
		if (file === undefined) {
			return;
		}

		appends += 1;
		if (appends < appendsBeforeRewrite) {
			await appendFile(file, `${encodeInterval(interval)}\n`);
			return;
		}

		appends = 0;
		await writeFile(`${file}.new`, encodeJournal(intervals));
		await rename(`${file}.new`, file);
	}

	async function writeAfter(earlier: Promise<void>, interval: BurnInterval): Promise<void> {
		await earlier;
		try {
			await write(interval);
		} catch {
			// If the journal can't be written, the report loses intervals; requests aren't affected.
		}
	}

	function closeInterval(): void {
		const now: WallTime = wallNow();
		const interval = recorder.take(intervalStart(startedAt));
		startedAt = now;
		if (interval.objectives.length > 0) {
			intervals = foldIntervals([...intervals, interval], now);
			pendingWrite = writeAfter(pendingWrite, interval);
		}
	}

	const intervalTimer = setInterval(closeInterval, intervalMilliseconds);

	function ownCounts(): InstanceBurn {
		closeInterval();
		return {instance: name, intervals, loads: loads.loads(monotonicNow())};
	}

	return {
		record(contract, idempotent, report) {
			if (contract.objectives.length === 0) {
				return;
			}

			const completion = completionStatusOf({
				outcome: report.outcome,
				limited: report.failure?.kind === FailureKind.limitReached,
				...(report.status === undefined ? {} : {status: report.status}),
			});
			recorder.record(contract, {end: completion, idempotent, latencyMilliseconds: report.latencyMilliseconds});
		},
		sent({service, name: upstream}) {
			loads.record(service, upstream, monotonicNow());
		},
		ownCounts,
		async input() {
			const members = seatedInstances(holder.state().ownership);
			const others = members.filter(member => member.name !== name);
			const responses = await Promise.all(others.map(async member => dependencies.requestCounts(member)));
			return {
				at: wallNow(),
				objectives: contractsOf(holder.state().configuration).flatMap(({name: service, objectives}) =>
					objectives.map(objective => ({...objective, service}))),
				expected: [...new Set([name, ...members.map(member => member.name)])],
				instances: [ownCounts(), ...responses.flatMap(answer => parseInstanceBurn(answer))],
				figures: ownershipFigures.list(),
			};
		},
		async stop() {
			clearInterval(intervalTimer);
			closeInterval();
			await pendingWrite;
		},
	};
}
