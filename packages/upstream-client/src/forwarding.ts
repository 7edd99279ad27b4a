/**
 * One caller's request on its way: the state machine of `routing` decides what
 * to do, and this module carries it out on the raw messages of Node.js.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Importance} from '@dogwooddeck/model/contract';
import {type Failure, failure, FailureKind} from '@dogwooddeck/model/failure';
import {HeaderName} from '@dogwooddeck/model/headers';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {Entered, Finished, type Ticket} from '@dogwooddeck/routing/admission';
import {
	beginRequest, type RequestEffect, type RequestEvent, RequestPhase, type RequestState, stepRequest,
} from '@dogwooddeck/routing/attempt';
import {type ClaimDecision, type StoredAnswer} from '@dogwooddeck/routing/claim';
import {Seen, seenRules, statusOf} from '@dogwooddeck/routing/outcome';
import {type SentRequest, type UpstreamClient} from './client.js';
import {Abandoned, type AnswerSink} from './exchange.js';
import {type RawHeaders, requestHeaders} from './headers.js';
import {type KeptAnswer, keepAnswer} from './kept-answer.js';
import {writeProblem} from './problem.js';
import {announcesBody, readBody} from './request-body.js';
import {
	type OpenClaim, type OpenedRequest, type RequestOwner, type RequestPath,
} from './request-path.js';

const finishedBySeen: Partial<Record<Seen, Finished>> = {
	[Seen.wholeAnswer]: Finished.answered,
	[Seen.shed]: Finished.strained,
	[Seen.deadlinePassedAfterFirstByte]: Finished.strained,
	[Seen.closedAfterFirstByte]: Finished.strained,
};

/** Jitter has to differ between requests, not to be hard to guess. */
function nextSeed(): number {
	return Math.floor(Math.random() * (2 ** 31));
}

/** What forwards requests: the client of the upstreams and the decisions around a request. */
export type Forwarder<Opened extends OpenedRequest, Owner extends RequestOwner> = {
	readonly client: UpstreamClient;
	readonly path: RequestPath<Opened, Owner>;
};

type EffectTable = HandlerTable<RequestEffect, [Forwarding<any, any>], void>;

/** One request from its head to its end. It is mutable: a copy for each step of the edge would cost more than the step. */
export class Forwarding<Opened extends OpenedRequest, Owner extends RequestOwner> implements AnswerSink, Ticket {
	static readonly #effects: EffectTable = {
		admit(_effect, forwarding) {
			forwarding.#admit();
		},
		send(effect, forwarding) {
			forwarding.#send(effect.retry);
		},
		pause(effect, forwarding) {
			forwarding.#timer = setTimeout(whenPauseOver, effect.milliseconds, forwarding);
		},
		cancel(_effect, forwarding) {
			forwarding.#cancel();
		},
		complete(_effect, forwarding) {
			forwarding.#complete();
		},
		break(_effect, forwarding) {
			forwarding.#break();
		},
		refuse(effect, forwarding) {
			forwarding.#refuse(effect.failure, effect.status, effect.outcome);
		},
	};

	readonly importance: Importance;
	readonly deadline: MonotonicTime;
	readonly #client: UpstreamClient;
	readonly #path: RequestPath<Opened, Owner>;
	readonly #opened: Opened;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #beganAt: MonotonicTime;
	#state: RequestState | undefined;
	#body: Uint8Array | undefined;
	#headers: RawHeaders | undefined;
	#owner: Owner | undefined;
	#sent: SentRequest | undefined;
	#sentAt: MonotonicTime = 0;
	#timer: NodeJS.Timeout | undefined;
	#claim: OpenClaim | undefined;
	#claimed = false;
	#kept: KeptAnswer | undefined;
	#status: number | undefined;
	#mayHaveRun = false;
	#callerGone = false;
	#over = false;

	constructor(forwarder: Forwarder<Opened, Owner>, opened: Opened, request: IncomingMessage, response: ServerResponse) {
		this.#client = forwarder.client;
		this.#path = forwarder.path;
		this.#opened = opened;
		this.#request = request;
		this.#response = response;
		this.#beganAt = forwarder.path.now();
		this.importance = opened.importance;
		this.deadline = opened.deadline;
	}

	/** Begins: reads the body, claims the operation where that is asked for, and goes through the attempts. */
	begin(): void {
		this.#response.once('close', () => {
			this.#whenClosed();
		});
		if (!announcesBody(this.#request)) {
			this.#whenBodyRead();
			return;
		}

		this.#armDeadline();
		readBody(this.#request, this.#opened.largestBodyBytes, body => {
			body.match({
				Ok: bytes => {
					this.#body = bytes;
					this.#whenBodyRead();
				},
				Err: why => {
					this.#refuse(why, statusOf(why.kind), Outcome.notRun);
				},
			});
		});
	}

	admitted(): void {
		this.step({kind: 'admitted', now: this.#path.now()});
	}

	refused(why: Failure): void {
		this.step({kind: 'refused', now: this.#path.now(), failure: why});
	}

	beforeFirstByte(): boolean {
		return this.#path.mayStart(this.#opened, this.#owner!);
	}

	onHead(status: number, headers: RawHeaders): void {
		this.#status = status;
		this.#kept = this.#claimed ? keepAnswer(status, headers) : undefined;

		if (!this.#callerGone) {
			this.#response.sendDate = false;
			this.#response.writeHead(status, [...headers, HeaderName.outcome, Outcome.ran]);
		}
	}

	onChunk(chunk: Uint8Array): boolean {
		this.#kept?.add(chunk);
		if (this.#callerGone || this.#response.write(chunk)) {
			return true;
		}

		this.#response.once('drain', () => {
			this.#sent?.resume();
		});
		return false;
	}

	onEnd(seen: Seen, retryAfterMilliseconds?: Milliseconds): void {
		const now = this.#path.now();
		const latencyMilliseconds = now - this.#sentAt;
		const owner = this.#owner!;
		this.#mayHaveRun ||= seenRules[seen].outcome !== Outcome.notRun;
		this.#path.attemptEnded(this.#opened, owner, {seen, latencyMilliseconds});
		this.step({
			kind: 'seen',
			now,
			seen,
			headPassed: this.#status !== undefined,
			budgetAllows: this.#path.allowsRetry(this.#opened),
			...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
		});
		owner.admission.finish(finishedBySeen[seen] ?? Finished.neutral, latencyMilliseconds);
	}

	/** Feeds the state machine and carries its effects out. */
	step(event: RequestEvent): void {
		if (this.#state !== undefined) {
			this.#carryOut(stepRequest(this.#state, event));
		}
	}

	/** Runs when the deadline passes while nothing is sent. */
	whenDeadlinePassed(): void {
		if (this.#state === undefined) {
			this.#refuse(failure(FailureKind.deadlineExceeded, 'the deadline passed before the request was sent'), statusOf(FailureKind.deadlineExceeded), Outcome.notRun);
		} else {
			this.step({kind: 'deadline-passed', now: this.#path.now()});
		}
	}

	/** The claim is held: the request may be sent. */
	runClaimed(): void {
		this.#claimed = true;
		this.#start();
	}

	/** The operation ended before: its answer is sent again. */
	replay(answer: StoredAnswer): void {
		this.#status = answer.status;
		this.#response.sendDate = false;
		this.#response.writeHead(answer.status, [...answer.headers, HeaderName.outcome, Outcome.ran]).end(Buffer.from(answer.body, 'base64'));
		this.#finish(Outcome.ran);
	}

	/** Nothing is sent: the claim was refused. */
	refuseClaim(why: Failure, outcome: Outcome): void {
		this.#refuse(why, statusOf(why.kind), outcome);
	}

	#carryOut(step: Transition<RequestState, RequestEffect>): void {
		this.#state = step.state;
		for (const effect of step.effects) {
			dispatch(Forwarding.#effects, effect, this);
		}
	}

	#armDeadline(): void {
		this.#timer ??= setTimeout(whenDeadlinePassed, Math.max(0, this.deadline - this.#path.now()), this);
	}

	#disarm(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#whenBodyRead(): void {
		if (this.#over) {
			return;
		}

		if (!this.#opened.claims) {
			this.#start();
			return;
		}

		this.#armDeadline();
		this.#claim = this.#path.claim(this.#opened, this.#body, decision => {
			if (!this.#over) {
				dispatch(decisionHandlers, decision, this);
			}
		});
	}

	#start(): void {
		this.#disarm();
		this.#carryOut(beginRequest({
			idempotent: this.#opened.idempotent, deadline: this.deadline, retry: this.#opened.retry, seed: nextSeed(),
		}));
	}

	#admit(): void {
		this.#timer = undefined;
		this.#path.locate(this.#opened).match({
			Ok: owner => {
				this.#owner = owner;
				this.#enter(owner);
			},
			Err: why => {
				this.refused(why);
			},
		});
	}

	#enter(owner: Owner): void {
		owner.admission.enter(this, this.#path.now()).match({
			Ok: how => {
				if (how === Entered.admitted) {
					this.admitted();
				} else {
					this.#armDeadline();
				}
			},
			Err: why => {
				this.refused(why);
			},
		});
	}

	#send(retry: boolean): void {
		const owner = this.#owner!;
		this.#disarm();
		this.#sentAt = this.#path.now();
		this.#headers ??= requestHeaders(this.#request.rawHeaders, this.#request.headers.connection);
		this.#path.attemptStarted(this.#opened, owner, retry);
		this.#sent = this.#client.send({
			address: owner.address,
			connections: owner.connections,
			method: this.#request.method!,
			path: this.#request.url!,
			headers: this.#headers,
			body: this.#body,
			slot: owner.slot,
			fence: owner.fence,
			timeoutMilliseconds: this.deadline - this.#sentAt,
			notRunStatuses: this.#opened.notRunStatuses,
		}, this);
	}

	#cancel(): void {
		this.#disarm();
		this.#owner?.admission.leave(this);
		this.#sent?.abandon(Abandoned.callerGone);
	}

	#complete(): void {
		if (!this.#callerGone) {
			this.#response.end();
		}

		this.#finish(Outcome.ran);
	}

	/** The caller has part of an answer, so it must not see an end. */
	#break(): void {
		this.#status = undefined;
		this.#response.destroy();
		this.#finish(Outcome.unknown);
	}

	#refuse(why: Failure, status: number, outcome: Outcome): void {
		if (this.#over) {
			return;
		}

		if (!this.#callerGone) {
			this.#status = status;
			writeProblem(this.#response, why, status, outcome);
		}

		this.#finish(outcome, why);
	}

	/** A claimed operation that was sent goes on without its caller, so that a resend gets the answer. */
	#whenClosed(): void {
		if (this.#over) {
			return;
		}

		this.#callerGone = true;
		if (this.#claimed && this.#state?.phase === RequestPhase.sending) {
			return;
		}

		this.step({kind: 'caller-gone', now: this.#path.now()});
		this.#finish(this.#mayHaveRun ? Outcome.unknown : Outcome.notRun);
	}

	#finish(outcome: Outcome, why?: Failure): void {
		this.#over = true;
		this.#disarm();
		if (this.#claimed) {
			this.#claim?.finished(outcome, outcome === Outcome.ran ? this.#kept?.stored() : undefined);
		} else {
			this.#claim?.giveUp();
		}

		this.#path.requestEnded(this.#opened, {
			outcome,
			latencyMilliseconds: this.#path.now() - this.#beganAt,
			attempts: this.#state?.attempts ?? 0,
			bodyBytes: this.#body?.length ?? 0,
			...(this.#status === undefined || this.#callerGone ? {} : {status: this.#status}),
			...(why === undefined ? {} : {failure: why}),
		});
	}
}

const decisionHandlers: HandlerTable<ClaimDecision, [Forwarding<any, any>], void> = {
	run(_decision, forwarding) {
		forwarding.runClaimed();
	},
	replay(decision, forwarding) {
		forwarding.replay(decision.answer);
	},
	refuse(decision, forwarding) {
		forwarding.refuseClaim(decision.failure, decision.outcome);
	},
};

function whenPauseOver(forwarding: Forwarding<any, any>): void {
	forwarding.step({kind: 'pause-over', now: 0});
}

function whenDeadlinePassed(forwarding: Forwarding<any, any>): void {
	forwarding.whenDeadlinePassed();
}
