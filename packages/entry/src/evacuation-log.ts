/**
 * Logs when this instance excludes an evacuated zone and when it includes it again.
 */
import {type DirectoryState} from '@dogwooddeck/directory/state';
import {type LogIndex, type ZoneName} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';

/** Creates a listener to the directory. */
export function createEvacuationLog(log: Log, measures: Measures): (state: DirectoryState) => void {
	let excluded: Readonly<Record<ZoneName, LogIndex>> = {};
	return ({evacuatedZones, applied}) => {
		if (evacuatedZones === excluded) {
			return;
		}

		for (const [zone, order] of Object.entries(evacuatedZones).filter(([name, index]) => excluded[name] !== index)) {
			log.event(EventName.zoneExcluded, {zone, order, applied});
		}

		for (const zone of Object.keys(excluded).filter(name => evacuatedZones[name] === undefined)) {
			log.event(EventName.zoneIncluded, {zone, applied});
		}

		excluded = evacuatedZones;
		measures.set(MeasureName.evacuatedZones, Object.keys(evacuatedZones).length);
	};
}
