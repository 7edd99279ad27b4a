/**
 * Writes what a voter asks to persist. Writes that come while one is under way
 * go to the disk together, in their order, with one sync.
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

/** What a voter asks to persist. */
export type PersistRequest = Omit<Extract<ConsensusEffect, {readonly kind: 'persist'}>, 'kind' | 'ticket'>;

type Waiting = {
	readonly request: PersistRequest;
	readonly answer: (result: Result<undefined, Failure>) => void;
};

/** The places and the helper of a storage. */
export type StorageParts = {
	readonly hash: XXHashAPI;
	readonly logPath: string;
	readonly snapshotPath: string;
	/** Gives the folder up. */
	readonly release: () => Promise<void>;
};

/** The disk of one voter. After a failed write it takes no other, since what the file holds is then unknown. */
export class Storage {
	readonly #parts: StorageParts;
	#log: LogFile;
	#entries: LogEntry[];
	#waiting: Waiting[] = [];
	#writing: Promise<void> | undefined;
	#failed: Failure | undefined;

	/** Goes on from what was read at the start. */
	constructor(parts: StorageParts, log: LogFile, saved: SavedState) {
		this.#parts = parts;
		this.#log = log;
		this.#entries = [...saved.entries];
	}

	/** Writes and syncs; resolves once it and all that was asked before is on disk. */
	async persist(request: PersistRequest): Promise<Result<undefined, Failure>> {
		if (this.#failed !== undefined) {
			return err(this.#failed);
		}

		return new Promise(resolve => {
			this.#waiting.push({request, answer: resolve});
			this.#writing ??= this.#writeAll();
		});
	}

	/** Finishes what was asked, closes the files and gives the folder up. Nothing is taken any more. */
	async close(): Promise<void> {
		await this.#writing;
		this.#failed ??= failure(FailureKind.storageFailed, 'The storage is closed.');
		await this.#log.handle.close();
		await this.#parts.release();
	}

	async #writeAll(): Promise<void> {
		while (this.#waiting.length > 0) {
			const batch = this.#waiting;
			this.#waiting = [];
			const result = await this.#tryWrite(batch.map(({request}) => request));
			for (const {answer} of batch) {
				answer(result);
			}
		}

		this.#writing = undefined;
	}

	async #tryWrite(batch: readonly PersistRequest[]): Promise<Result<undefined, Failure>> {
		if (this.#failed !== undefined) {
			return err(this.#failed);
		}

		try {
			await this.#write(batch);
			return ok(undefined);
		} catch (error) {
			this.#failed = toFailure(error, FailureKind.storageFailed);
			return err(this.#failed);
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
		this.#log = await appendRecord(this.#parts.hash, this.#log, record);
	}

	async #compact(hardState: HardState, snapshot: Snapshot): Promise<void> {
		const {hash, snapshotPath, logPath} = this.#parts;
		const old = this.#log.handle;
		await writeSnapshot(hash, snapshotPath, snapshot);
		this.#log = await replaceLogFile(hash, logPath, [{hardState, entries: this.#entries}]);
		await old.close();
	}
}
