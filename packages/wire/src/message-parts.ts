/**
 * Checks of parts that stand in requests and in answers between instances.
 */
import {isSafeRecordKey} from '@dogwooddeck/model/identifiers';
import {
	type FieldCheck, formed, message, text, whole,
} from './field-check.js';

/** The longest header field that Node.js takes from a caller. */
const longestCallerText = 16_384;

const plainName = formed(/^[a-z][a-z\d\-]{0,62}$/v, 'a name');

/** An instance, a zone, a region or a limit. */
export const name: FieldCheck = value => plainName(value) ?? (isSafeRecordKey(value as string) ? undefined : ' is not a free name');

/** A service's path: its team and its own name. */
export const service = formed(/^[a-z][a-z\d\-]{0,62}\/[a-z][a-z\d\-]{0,62}$/v, 'the path of a service');

/** A key, or a caller's name: what a caller sent in a path or a header field. */
export const callerText = text(longestCallerText);

/** One life of an instance as the holder of a share. */
export const shareHolder = formed(/^[\w.:#\-]{1,128}$/v, 'the holder of a share');

/** One life of an instance. */
export const instanceIdentity = message({name, incarnation: whole()});
