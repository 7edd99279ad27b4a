/**
 * Runs one caller's request: the state machine of `routing` decides the next
 * step, and this module executes it on the raw messages of Node.js.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Importance} from '@dogwooddeck/model/contract';
import {type Failure, failure, FailureKind} from '@dogwooddeck/model/failure';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {AdmissionDecision, completionOf, type Ticket} from '@dogwooddeck/routing/admission';
import {
	beginRequest, type RequestEffect, type RequestEvent, RequestPhase, type RequestState, stepRequest,
} from '@dogwooddeck/routing/attempt';
import {type ClaimDecision, type StoredAnswer} from '@dogwooddeck/routing/claim';
import {type AttemptObservation, observationRules, httpStatusOf} from '@dogwooddeck/routing/outcome';
import {CallerAnswer} from './caller-answer.js';
import {type SentRequest, type UpstreamClient} from './client.js';
import {type Forwarder} from './forwarder.js';
import {Abandoned, type AnswerSink} from './exchange.js';
import {type RawHeaders, requestHeaders} from './headers.js';
import {type KeptAnswer, keepAnswer} from './kept-answer.js';
import {nextSeed} from './jitter-seed.js';
import {announcesBody, readBody} from './request-body.js';
import {
	type OpenClaim, type OpenedRequest, type RequestOwner, type RequestPath,
} from './request-path.js';

type EffectTable = HandlerTable<RequestEffect, [Forwarding<any, any>], void>;

/** One request from its head to its end. Mutable: copying this state on every step would cost more than the step itself. */
export class Forwarding<Opened extends OpenedRequest, Owner extends RequestOwner> implements AnswerSink, Ticket {
	static readonly #effects: EffectTable = {
		admit(_effect, forwarding) {
			forwarding.#admit();
		},
		send(effect, forwarding) {
			forwarding.#send(effect.retry);
		},
		pause(effect, forwarding) {
			forwarding.#timer = setTimeout(() => {
				forwarding.step({kind: 'pause-over', now: forwarding.#path.now()});
			}, effect.milliseconds);
		},
		cancel(_effect, forwarding) {
			forwarding.#cancel();
		},
		complete(_effect, forwarding) {
			forwarding.#complete();
		},
		break(_effect, forwarding) {
			forwarding.#abort();
		},
		refuse(effect, forwarding) {
			forwarding.refuse(effect.failure, effect.outcome, effect.status);
		},
	};

	readonly importance: Importance;
	readonly deadline: MonotonicTime;
	readonly #client: UpstreamClient;
	readonly #path: RequestPath<Opened, Owner>;
	readonly #opened: Opened;
	readonly #request: IncomingMessage;
	readonly #answer: CallerAnswer;
	readonly #startedAt: MonotonicTime;
	#state: RequestState | undefined;
	#body: Uint8Array | undefined;
	#headers: RawHeaders | undefined;
	#owner: Owner | undefined;
	#sentRequest: SentRequest | undefined;
	#sentAt: MonotonicTime = 0;
	#timer: NodeJS.Timeout | undefined;
	#claim: OpenClaim | undefined;
	#claimed = false;
	#bufferedAnswer: KeptAnswer | undefined;
	#mayHaveRun = false;
	#ended = false;

	constructor(forwarder: Forwarder<Opened, Owner>, opened: Opened, request: IncomingMessage, response: ServerResponse) {
		this.#client = forwarder.client;
		this.#path = forwarder.path;
		this.#opened = opened;
		this.#request = request;
		this.#answer = new CallerAnswer(response);
		this.#startedAt = forwarder.path.now();
		this.importance = opened.importance;
		this.deadline = opened.deadline;
	}

	/** Reads the body, claims the operation if the request requires it, and runs the attempts. */
	begin(): void {
		this.#answer.watch(() => {
			this.#whenClosed();
		});
		if (!announcesBody(this.#request)) {
			this.#whenBodyRead();
			return;
		}

		this.#startDeadlineTimer();
		readBody(this.#request, this.#opened.largestBodyBytes, body => {
			if (body.isErr) {
				this.refuse(body.error, this.#unsentOutcome);
			} else {
				this.#body = body.value;
				this.#whenBodyRead();
			}
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
		this.#bufferedAnswer = this.#claimed ? keepAnswer(status, headers) : undefined;
		this.#answer.writeHead(status, headers);
	}

	onChunk(chunk: Uint8Array): boolean {
		this.#bufferedAnswer?.add(chunk);
		return this.#answer.writeChunk(chunk, () => {
			this.#sentRequest?.resume();
		});
	}

	onEnd(observation: AttemptObservation, retryAfterMilliseconds?: Milliseconds): void {
		const now = this.#path.now();
		const latencyMilliseconds = now - this.#sentAt;
		const owner = this.#owner!;
		this.#mayHaveRun ||= observationRules[observation].outcome !== Outcome.notRun;
		this.#path.attemptEnded(this.#opened, owner, {seen: observation, latencyMilliseconds});
		this.step({
			kind: 'seen',
			now,
			seen: observation,
			headPassed: this.#answer.headRelayed,
			budgetAllows: this.#path.allowsRetry(this.#opened),
			...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
		});
		owner.admission.finish(completionOf(observation), latencyMilliseconds);
	}

	/** Applies an event to the state machine and executes the resulting effects. */
	step(event: RequestEvent): void {
		if (this.#state !== undefined) {
			this.#execute(stepRequest(this.#state, event));
		}
	}

	/** Starts the request once its claim is held. */
	runClaimed(): void {
		this.#claimed = true;
		this.#start();
	}

	/** Sends the stored answer of an operation that has already ended. */
	replay(answer: StoredAnswer): void {
		this.#answer.replay(answer);
		this.#finish(Outcome.ran);
	}

	/** Sends the caller a failure in place of an answer. */
	refuse(why: Failure, outcome: Outcome, status = httpStatusOf(why.kind)): void {
		if (!this.#ended) {
			this.#answer.refuse(why, status, outcome);
			this.#finish(outcome, why);
		}
	}

	/** The outcome of a request that was not sent. Until its claim is held, it is unknown whether an earlier send of the operation ran. */
	get #unsentOutcome(): Outcome {
		return this.#opened.claims && !this.#claimed ? Outcome.unknown : Outcome.notRun;
	}

	#execute(step: Transition<RequestState, RequestEffect>): void {
		this.#state = step.state;
		for (const effect of step.effects) {
			dispatch(Forwarding.#effects, effect, this);
		}
	}

	#startDeadlineTimer(): void {
		this.#timer ??= setTimeout(() => {
			this.#whenDeadlinePassed();
		}, Math.max(0, this.deadline - this.#path.now()));
	}

	/** Called when the deadline passes while no attempt is in flight. */
	#whenDeadlinePassed(): void {
		if (this.#state === undefined) {
			this.refuse(failure(FailureKind.deadlineExceeded, 'the deadline passed before the request was sent'), this.#unsentOutcome);
		} else {
			this.step({kind: 'deadline-passed', now: this.#path.now()});
		}
	}

	#clearTimer(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#whenBodyRead(): void {
		if (this.#ended) {
			return;
		}

		if (!this.#opened.claims) {
			this.#start();
			return;
		}

		this.#startDeadlineTimer();
		this.#claim = this.#path.claim(this.#opened, this.#body, decision => {
			if (!this.#ended) {
				dispatch(decisionHandlers, decision, this);
			}
		});
	}

	#start(): void {
		this.#clearTimer();
		this.#execute(beginRequest({
			idempotent: this.#opened.idempotent, deadline: this.deadline, retry: this.#opened.retry, seed: nextSeed(),
		}));
	}

	#admit(): void {
		this.#timer = undefined;
		this.#path.locate(this.#opened).match({
			Ok: owner => {
				this.#owner = owner;
				this.#enterAdmission(owner);
			},
			Err: why => {
				this.refused(why);
			},
		});
	}

	#enterAdmission(owner: Owner): void {
		owner.admission.enter(this, this.#path.now()).match({
			Ok: decision => {
				if (decision === AdmissionDecision.admitted) {
					this.admitted();
				} else {
					this.#startDeadlineTimer();
				}
			},
			Err: why => {
				this.refused(why);
			},
		});
	}

	#send(retry: boolean): void {
		const owner = this.#owner!;
		this.#clearTimer();
		this.#sentAt = this.#path.now();
		this.#headers ??= requestHeaders(this.#request.rawHeaders, this.#request.headers.connection);
		this.#path.attemptStarted(this.#opened, owner, retry);
		this.#sentRequest = this.#client.send({
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
		this.#clearTimer();
		this.#owner?.admission.leave(this);
		this.#sentRequest?.abandon(Abandoned.callerGone);
	}

	#complete(): void {
		this.#answer.end();
		this.#finish(Outcome.ran);
	}

	#abort(): void {
		this.#answer.abort();
		this.#finish(Outcome.unknown);
	}

	/** Handles the close of the caller's connection. A claimed operation that was sent continues without its caller, so that a resend gets the answer. */
	#whenClosed(): void {
		if (this.#ended) {
			return;
		}

		this.#answer.callerGone = true;
		if (this.#claimed && this.#state?.phase === RequestPhase.sending) {
			return;
		}

		this.step({kind: 'caller-gone', now: this.#path.now()});
		this.#finish(this.#mayHaveRun ? Outcome.unknown : this.#unsentOutcome);
	}

	#finish(outcome: Outcome, why?: Failure): void {
		this.#ended = true;
		this.#clearTimer();
		if (this.#claimed) {
			this.#claim?.finished(outcome, outcome === Outcome.ran ? this.#bufferedAnswer?.stored() : undefined);
		} else {
			this.#claim?.giveUp();
		}

		const {status} = this.#answer;
		this.#path.requestEnded(this.#opened, {
			outcome,
			latencyMilliseconds: this.#path.now() - this.#startedAt,
			attempts: this.#state?.attempts ?? 0,
			bodyBytes: this.#body?.length ?? 0,
			...(status === undefined ? {} : {status}),
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
		forwarding.refuse(decision.failure, decision.outcome);
	},
};
