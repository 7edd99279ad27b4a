/**
 * Piggybacks a voter's answer on the response to the call that delivered the
 * request. A separate call would double the replication calls, most of which
 * carry only a heartbeat and its answer.
 */
import {type ConsensusEnvelope} from '@dogwooddeck/consensus/message';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** An answer waits for the disk. One that takes longer is sent in a separate call, so that the response isn't delayed further. */
const maximumWaitMilliseconds: Milliseconds = 40;

/** A call that waits for an answer. */
export type WaitingCall = {
	/** The answer to return; undefined if none was ready in time. */
	readonly answer: Promise<ConsensusEnvelope | undefined>;
	readonly complete: (envelope?: ConsensusEnvelope) => void;
};

/** The calls that wait for an answer, by the voter that made them. */
export class PiggybackedAnswers {
	readonly #waitingCalls = new Map<string, WaitingCall[]>();

	/** Registers a call that waits for the next answer to a voter. */
	waitForAnswer(voter: string): WaitingCall {
		const waitingCalls = this.#waitingCalls.get(voter) ?? [];
		this.#waitingCalls.set(voter, waitingCalls);
		let resolve: (envelope?: ConsensusEnvelope) => void = () => undefined;
		const answer = new Promise<ConsensusEnvelope | undefined>(_resolve => {
			resolve = _resolve;
		});
		const waitingCall: WaitingCall = {
			answer,
			complete(envelope) {
				clearTimeout(timer);
				if (waitingCalls.includes(waitingCall)) {
					waitingCalls.splice(waitingCalls.indexOf(waitingCall), 1);
				}

				resolve(envelope);
			},
		};

		const timer = setTimeout(() => {
			waitingCall.complete();
		}, maximumWaitMilliseconds);
		waitingCalls.push(waitingCall);
		return waitingCall;
	}

	/** Passes an answer to the call that has waited longest. Returns `false` if none is waiting. */
	deliver(envelope: ConsensusEnvelope): boolean {
		const [first] = this.#waitingCalls.get(envelope.to.name) ?? [];
		first?.complete(envelope);
		return first !== undefined;
	}
}
