/**
 * One HTTP call whose answer is read whole.
 */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';

/** Makes a call. Returns undefined if no whole answer came in time. */
export async function httpCall({
	host, port, path, method = 'GET', headers = {}, body = '', timeoutMilliseconds = 1000, agent = false,
}) {
	return new Promise(resolve => {
		const call = request({
			host, port, path, method, agent, headers: {...headers, 'content-length': Buffer.byteLength(body)},
		}, answer => {
			const chunks = [];
			answer.on('data', chunk => {
				chunks.push(chunk);
			});
			answer.on('end', () => {
				clearTimeout(timer);
				resolve({status: answer.statusCode, headers: answer.headers, body: Buffer.concat(chunks).toString()});
			});
			answer.on('error', () => {
				clearTimeout(timer);
				resolve();
			});
		});
		const timer = setTimeout(() => {
			call.destroy();
			resolve();
		}, timeoutMilliseconds);
		call.on('error', () => {
			clearTimeout(timer);
			resolve();
		});
		call.end(body);
	});
}

/** Calls a control instance; returns undefined, or the status and the JSON of its answer. */
export async function controlCall(host, port, {method, path, body, timeoutMilliseconds = 1000}) {
	const answer = await httpCall({
		host, port, method, path, timeoutMilliseconds, headers: {'content-type': 'application/json'}, body: body === undefined ? '' : JSON.stringify(body),
	});
	if (answer === undefined) {
		return undefined;
	}

	try {
		return {status: answer.status, body: JSON.parse(answer.body)};
	} catch {
		return {status: answer.status, body: undefined};
	}
}
