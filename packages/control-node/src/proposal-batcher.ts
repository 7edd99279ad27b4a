/**
 * Proposes commands in batches, one log entry each: every entry is synced to disk
 * and sent to the voters and to all followers.
 */
import {type DirectoryCommand, encodeCommands} from '@dogwooddeck/directory/state';
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type Milliseconds} from '@dogwooddeck/model/identifiers';
import {ok, type Result} from 'true-myth/result';
import {type DirectoryVoter} from './directory-voter.js';

/** Commands proposed within this window share one log entry. */
const batchMilliseconds: Milliseconds = 5;

type PendingProposal = {readonly commands: readonly DirectoryCommand[]; readonly resolve: (result: Result<LogIndex, Failure>) => void};

/** Creates a function that proposes commands. It returns the index of their log entry, or the failure of the first of its commands that was refused. */
export function createProposalBatcher(send: DirectoryVoter['propose']): (commands: readonly DirectoryCommand[]) => Promise<Result<LogIndex, Failure>> {
	let pending: readonly PendingProposal[] = [];

	async function flush(): Promise<void> {
		const proposed = pending;
		pending = [];
		const committed = await send(encodeCommands(proposed.flatMap(({commands}) => commands)));
		let next = 0;
		for (const {commands, resolve} of proposed) {
			const first = next;
			next += commands.length;
			resolve(committed.andThen(({index, answers}) => answers.slice(first, first + commands.length).find(answer => answer.isErr)?.map(() => index) ?? ok(index)));
		}
	}

	return async commands => new Promise(resolve => {
		if (pending.length === 0) {
			setTimeout(() => {
				void flush();
			}, batchMilliseconds);
		}

		pending = [...pending, {commands, resolve}];
	});
}

