/**
 * Serves the measures of a process as text, for scrapers.
 */
import {createServer} from 'node:http';
import {type Measures} from './measure.js';

/** The path of the measures. */
export const measuresPath = '/metrics';

/** Where the measures are served. */
export type MeasuresServer = {readonly close: () => void};

/** Starts to serve. An address that can't be bound is told to `failed` and costs only the measures. */
export function serveMeasures(host: string, port: number, measures: Measures, failed: (error: Error) => void): MeasuresServer {
	const server = createServer((request, response) => {
		const isKnown = request.url === measuresPath;
		response.writeHead(isKnown ? 200 : 404, {'content-type': 'text/plain; version=0.0.4'});
		response.end(isKnown ? measures.expose() : '');
	});
	server.on('error', failed);
	server.listen(port, host);
	return {
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
