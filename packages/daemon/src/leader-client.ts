/**
 * Client for calls to the control leader: tries the voters in turn, the cached
 * leader first, then the one that an answer names.
 */
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceName, type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {type PeerCalls} from '@dogwooddeck/wire/methods';
import {err, type Result} from 'true-myth/result';
import {type CachedLeader} from './cached-leader.js';

/** The calls that only the leader answers. */
export type LeaderCall = 'delegate' | 'seat' | 'propose' | 'joinVoters';

type LeaderAnswer<Call extends LeaderCall> = Promise<Result<PeerCalls[Call]['answer'], Failure>>;

/** This instance's handlers for the calls, used when it leads. */
export type LeaderHandlers = {readonly [Call in LeaderCall]: (request: PeerCalls[Call]['request']) => LeaderAnswer<Call>};

/**
 * Sends a call to the leader, which may be this instance. Fails as the leader
 * does, with `noQuorum` if none is found, and with `outcomeUnknown` for a
 * proposal that may have reached one.
 */
export type LeaderClient = <Call extends LeaderCall>(call: Call, request: PeerCalls[Call]['request']) => LeaderAnswer<Call>;

/** Collaborators of the client. */
export type LeaderClientDependencies = {
	readonly self: InstanceName;
	/** The peer addresses of the voters. */
	readonly addresses: ReadonlyMap<InstanceName, string>;
	readonly clients: PeerClients;
	readonly cachedLeader: CachedLeader;
	readonly handlers: LeaderHandlers;
};

const callTimeoutMilliseconds: Milliseconds = 1000;
const proposeTimeoutMilliseconds: Milliseconds = 5000;

const timeouts: Readonly<Record<LeaderCall, Milliseconds>> = {
	delegate: callTimeoutMilliseconds,
	seat: callTimeoutMilliseconds,
	propose: proposeTimeoutMilliseconds,
	joinVoters: proposeTimeoutMilliseconds,
};

/** Failures after which the next voter is tried. */
const retriedFailures: ReadonlySet<FailureKind> = new Set([FailureKind.notLeader, FailureKind.unreachable, FailureKind.notReady]);

function hintedFirst(candidates: readonly InstanceName[], hint: InstanceName | undefined): readonly InstanceName[] {
	return hint !== undefined && candidates.includes(hint)
		? [hint, ...candidates.filter(name => name !== hint)]
		: candidates;
}

function noLeaderFailure(call: LeaderCall, sentUnanswered: boolean): Failure {
	return call === 'propose' && sentUnanswered
		? failure(FailureKind.outcomeUnknown, 'no leader answered; send the same operation again')
		: failure(FailureKind.noQuorum, 'no leader of control can be reached');
}

export function createLeaderClient({
	self, addresses, clients, cachedLeader, handlers,
}: LeaderClientDependencies): LeaderClient {
	async function callOne<Call extends LeaderCall>(name: InstanceName, call: Call, request: PeerCalls[Call]['request']): LeaderAnswer<Call> {
		return name === self
			? handlers[call](request)
			: clients.call<Call>(addresses.get(name)!, call, request, timeouts[call]);
	}

	return async (call, request) => {
		let remaining = hintedFirst([...addresses.keys()], cachedLeader.leader());
		let sentUnanswered = false;
		while (remaining.length > 0) {
			const [name, ...others] = remaining as readonly [InstanceName, ...InstanceName[]];
			const answer = await callOne(name, call, request);
			if (answer.isOk) {
				cachedLeader.recordAnswer(name);
				return answer;
			}

			if (!retriedFailures.has(answer.error.kind)) {
				return answer;
			}

			sentUnanswered ||= answer.error.kind === FailureKind.unreachable;
			remaining = hintedFirst(others, answer.error.leader);
		}

		return err(noLeaderFailure(call, sentUnanswered));
	};
}
