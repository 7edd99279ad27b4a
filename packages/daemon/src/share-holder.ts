/** The name under which an instance holds shares of limits. */
import {type InstanceIdentity} from '@dogwooddeck/model/identifiers';

/** The name under which an instance's present life holds shares. */
export function shareHolder({name, incarnation}: InstanceIdentity): string {
	return `${name}#${incarnation}`;
}
