export {loadSettings} from './loadSettings.js';
export {runEntry} from './runEntry.js';
export {runSidecar} from './runSidecar.js';
