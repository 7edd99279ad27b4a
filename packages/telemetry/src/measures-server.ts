/**
 * An HTTP server that exposes the metrics of a process to scrapers.
 */
import {createServer} from 'node:http';
import {type Measures} from './measure.js';

/** The request path of the metrics. */
export const measuresPath = '/metrics';

/** A running metrics server. */
export type MeasuresServer = {readonly close: () => void};

/** Starts the server. An address that can't be bound is reported to `failed`; then only the metrics are unavailable. */
export function serveMeasures(host: string, port: number, measures: Measures, onError: (error: Error) => void): MeasuresServer {
	const server = createServer((request, response) => {
		const isMetricsPath = request.url === measuresPath;
		response.writeHead(isMetricsPath ? 200 : 404, {'content-type': 'text/plain; version=0.0.4'});
		response.end(isMetricsPath ? measures.expose() : '');
	});
	server.on('error', onError);
	server.listen(port, host);
	return {
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
