/**
 * The replicated control state, as this process has applied it.
 */
import {applyEntry} from '@dogwooddeck/control/apply';
import {
	type ControlAccepted, type ControlState, decodeControl, emptyControl, encodeControl,
} from '@dogwooddeck/control/state';
import {type Failure} from '@dogwooddeck/model/failure';
import {createStateHolder, type StateHolder} from '@dogwooddeck/replica/state-holder';
import {type Result} from 'true-myth/result';

/** The results of the commands of one log entry. */
export type EntryAnswers = ReadonlyArray<Result<ControlAccepted, Failure>>;

export type ControlHolder = StateHolder<ControlState, ControlAccepted>;

/** Creates a holder with the empty state. */
export function createControlHolder(): ControlHolder {
	return createStateHolder({
		empty: emptyControl, apply: applyEntry, encode: encodeControl, decode: decodeControl,
	});
}
