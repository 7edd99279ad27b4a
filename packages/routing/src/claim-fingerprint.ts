/**
 * Tells a resend of a request from a different request with the same operation key.
 */
import {createHash} from 'node:crypto';
import {type RequestHead} from './target.js';

/** Fields that say whose request it is: another caller's answer is never replayed. */
const identifyingFields = ['authorization', 'cookie', 'content-type'];

/** A hash over the method, the path, whose request it is, and the body. */
export function fingerprintOf(head: RequestHead, body: Uint8Array | undefined): string {
	const fields = identifyingFields.map(name => head.headers[name] ?? null);
	const hash = createHash('sha256').update(JSON.stringify([head.method, head.path, fields]));
	return (body === undefined ? hash : hash.update(body)).digest('base64');
}
