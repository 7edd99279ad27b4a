/**
 * Persists the log, term, vote and snapshots of a voter. Requests that arrive
 * during a write are written as one batch, in their order, with one sync.
 */
import {type ConsensusEffect, type HardState, type SavedState} from '@dogwooddeck/consensus/voter-interface';
import {type LogEntry, type Snapshot} from '@dogwooddeck/consensus/message';
import {
	failure, FailureKind, toFailure, type Failure,
} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';
import {type XXHashAPI} from 'xxhash-wasm';
import {appendRecord, replaceLogFile, type LogFile} from './log-file.js';
import {entriesAfter, mergeEntries} from './record.js';
import {writeSnapshot} from './snapshot-file.js';

/** The state that a voter asks to persist. */
export type PersistRequest = Omit<Extract<ConsensusEffect, {readonly kind: 'persist'}>, 'kind' | 'ticket'>;

type PendingRequest = {
	readonly request: PersistRequest;
	readonly answer: (result: Result<undefined, Failure>) => void;
};

/** The file paths and collaborators of a storage. */
export type StorageDependencies = {
	readonly hash: XXHashAPI;
	readonly logPath: string;
	readonly snapshotPath: string;
	/** Releases the lock on the folder. */
	readonly release: () => Promise<void>;
};

/** The durable storage of one voter. After a failed write it rejects all requests, since the content of the file is then unknown. */
export class Storage {
	readonly #dependencies: StorageDependencies;
	#log: LogFile;
	#entries: LogEntry[];
	#pending: PendingRequest[] = [];
	#writeInProgress: Promise<void> | undefined;
	#failure: Failure | undefined;

	/** Continues from the state that was read when the folder was opened. */
	constructor(dependencies: StorageDependencies, log: LogFile, saved: SavedState) {
		this.#dependencies = dependencies;
		this.#log = log;
		this.#entries = [...saved.entries];
	}

	/** Writes and syncs a request; resolves once it and all earlier requests are on disk. */
	async persist(request: PersistRequest): Promise<Result<undefined, Failure>> {
		if (this.#failure !== undefined) {
			return err(this.#failure);
		}

		return new Promise(resolve => {
			this.#pending.push({request, answer: resolve});
			this.#writeInProgress ??= this.#writeAll();
		});
	}

	/** Completes pending requests, closes the log file and releases the folder. Later requests are rejected. */
	async close(): Promise<void> {
		await this.#writeInProgress;
		this.#failure ??= failure(FailureKind.storageFailed, 'The storage is closed.');
		await this.#log.handle.close();
		await this.#dependencies.release();
	}

	async #writeAll(): Promise<void> {
		while (this.#pending.length > 0) {
			const batch = this.#pending;
			this.#pending = [];
			const result = await this.#tryWrite(batch.map(({request}) => request));
			for (const {answer} of batch) {
				answer(result);
			}
		}

		this.#writeInProgress = undefined;
	}

	async #tryWrite(batch: readonly PersistRequest[]): Promise<Result<undefined, Failure>> {
		if (this.#failure !== undefined) {
			return err(this.#failure);
		}

		try {
			await this.#write(batch);
			return ok(undefined);
		} catch (error) {
			this.#failure = toFailure(error, FailureKind.storageFailed);
			return err(this.#failure);
		}
	}

	async #write(batch: readonly PersistRequest[]): Promise<void> {
		const written: LogEntry[] = [];
		let snapshot: Snapshot | undefined;
		for (const request of batch) {
			snapshot = request.snapshot ?? snapshot;
			this.#merge(request);
			mergeEntries(written, request.entries);
		}

		const {hardState} = batch.at(-1)!;
		await (snapshot === undefined ? this.#append({hardState, entries: written}) : this.#compact(hardState, snapshot));
	}

	#merge(request: PersistRequest): void {
		if (request.snapshot !== undefined) {
			this.#entries = [...entriesAfter(this.#entries, request.snapshot)];
		}

		mergeEntries(this.#entries, request.entries);
	}

	async #append(record: {readonly hardState: HardState; readonly entries: readonly LogEntry[]}): Promise<void> {
		this.#log = await appendRecord(this.#dependencies.hash, this.#log, record);
	}

	async #compact(hardState: HardState, snapshot: Snapshot): Promise<void> {
		const {hash, snapshotPath, logPath} = this.#dependencies;
		const old = this.#log.handle;
		await writeSnapshot(hash, snapshotPath, snapshot);
		this.#log = await replaceLogFile(hash, logPath, [{hardState, entries: this.#entries}]);
		await old.close();
	}
}
