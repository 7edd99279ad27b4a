/**
 * Forwards announcements to the leader in batches: hundreds of upstreams announce
 * themselves each second, and a call costs more than its payload.
 */
import {type AnnouncementOutcome, type AnnouncementReport, type Reply} from '@dogwooddeck/mesh/calls';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';

/** Announcements within this window share a call. An urgent one sends the batch at once. */
const batchMilliseconds: Milliseconds = 25;

type Outcome = Result<AnnouncementOutcome, Failure>;
type PendingAnnouncement = {readonly report: AnnouncementReport; readonly resolve: (outcome: Outcome) => void};

/** Sends announcements in one call. The replies are in the same order. */
export type SendAnnouncements = (announcements: readonly AnnouncementReport[]) => Promise<Result<ReadonlyArray<Reply<AnnouncementOutcome>>, Failure>>;

function outcomeOf(sent: Result<ReadonlyArray<Reply<AnnouncementOutcome>>, Failure>, position: number): Outcome {
	return sent.andThen((answers): Outcome => {
		const reply = answers[position];
		if (reply === undefined) {
			return err(failure(FailureKind.malformed, 'the leader returned fewer replies than announcements sent'));
		}

		return 'failure' in reply ? err(reply.failure) : ok(reply.answer);
	});
}

/** Creates a function that forwards an announcement to the leader as part of a batch. */
export function createAnnouncementBatcher(send: SendAnnouncements): (report: AnnouncementReport) => Promise<Outcome> {
	let pending: readonly PendingAnnouncement[] = [];
	let timer: NodeJS.Timeout | undefined;

	async function flush(): Promise<void> {
		clearTimeout(timer);
		timer = undefined;
		const sending = pending;
		pending = [];
		const sent = await send(sending.map(({report}) => report));
		for (const [position, {resolve}] of sending.entries()) {
			resolve(outcomeOf(sent, position));
		}
	}

	return async report => new Promise(resolve => {
		pending = [...pending, {report, resolve}];
		if (report.isUrgent) {
			void flush();
		} else {
			timer ??= setTimeout(() => {
				void flush();
			}, batchMilliseconds);
		}
	});
}
