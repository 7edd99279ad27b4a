/**
 * Holds the control state of this process.
 */
import {applyEntry} from '@dogwooddeck/control/apply';
import {
	type ControlAccepted, type ControlState, decodeControl, emptyControl, encodeControl,
} from '@dogwooddeck/control/state';
import {type Failure} from '@dogwooddeck/model/failure';
import {createStateHolder, type StateHolder} from '@dogwooddeck/replica/state-holder';
import {type Result} from 'true-myth/result';

/** The answers to the commands of one entry. */
export type EntryAnswers = ReadonlyArray<Result<ControlAccepted, Failure>>;

/** The control state of this process. */
export type ControlHolder = StateHolder<ControlState, ControlAccepted>;

/** Makes a holder of the empty state. */
export function createControlHolder(): ControlHolder {
	return createStateHolder({
		empty: emptyControl, apply: applyEntry, encode: encodeControl, decode: decodeControl,
	});
}
