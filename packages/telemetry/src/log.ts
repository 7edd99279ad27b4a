/**
 * The structured log: one line of key=value pairs for each event.
 */
// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- it must come before roarr
import './enable-log.js';
import {type Failure} from '@dogwooddeck/model/failure';
import {type InstanceName} from '@dogwooddeck/model/identifiers';
import {
	type Logger, type Message, ROARR, Roarr,
} from 'roarr';
import {type EventName} from './event.js';

/** The value of a log field. */
export type FieldValue = string | number | boolean | undefined;

/** The fields of an event. */
export type Fields = Readonly<Record<string, FieldValue>>;

/** Writes events at three levels. */
export type Log = {
	readonly event: (name: EventName, fields?: Fields) => void;
	readonly warning: (name: EventName, fields?: Fields) => void;
	readonly error: (name: EventName, failed: Failure, fields?: Fields) => void;
};

const unquotedPattern = /^[\w.:\/@+\-]+$/v;

function formatValue(value: FieldValue): string {
	const text = String(value);
	return unquotedPattern.test(text) ? text : JSON.stringify(text);
}

const levelNames: Readonly<Record<number, string>> = {30: 'info', 40: 'warning', 50: 'error'};

/** Formats a message as a line of key=value pairs, with time, level and event first. */
export function lineOf(message: Message): string {
	const {logLevel, ...context} = message.context as Record<string, FieldValue>;
	const pairs = {
		time: new Date(message.time).toISOString(),
		level: levelNames[Number(logLevel)] ?? 'info',
		event: message.message,
		...context,
	};
	return Object.entries(pairs)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${formatValue(value as FieldValue)}`)
		.join(' ');
}

type JsonObject = Parameters<Logger['child']>[0];

function contextOf(fields: Fields): JsonObject {
	return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));
}

/** Creates the log of an instance. `write` receives each line without a line terminator. */
export function createLog(instance: InstanceName, write: (line: string) => void): Log {
	ROARR.serializeMessage = lineOf;
	ROARR.write = write;
	const logger = Roarr.child({instance});
	return {
		event(name, fields = {}) {
			logger.info(contextOf(fields) as never, name);
		},
		warning(name, fields = {}) {
			logger.warn(contextOf(fields) as never, name);
		},
		error(name, failed, fields = {}) {
			logger.error(contextOf({...fields, failure: failed.kind, detail: failed.detail}) as never, name);
		},
	};
}
