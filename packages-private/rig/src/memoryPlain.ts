import {Verdict} from '@lilacledge/shared';
import {EndpointError} from '@lilacledge/sidecar';
import type {PlainPort} from '@lilacledge/sidecar';
import type {PlainModel} from '@lilacledge/standins';

/** Faults between a sidecar and its plain service. */
export interface PlainFaults {
  /** Connections to the service are refused. */
  isUnreachable: boolean;
  /** The service runs the call, but its answer is lost. */
  losesAnswers: boolean;
}

/** Connects a plain-service model to the sidecar's port without a network. */
export function createMemoryPlain(
  model: PlainModel,
  faults: PlainFaults,
): PlainPort {
  return {
    async call(request) {
      if (faults.isUnreachable) {
        throw new EndpointError(Verdict.NOT_RUN, 'refused');
      }
      const {requestId, method, path} = request;
      const body = Buffer.from(request.body).toString();
      const answer = await model.run({requestId, method, path, body});
      if (faults.losesAnswers) {
        throw new EndpointError(Verdict.MAY_HAVE_RUN, 'answer lost');
      }
      return {
        status: answer.status,
        contentType: 'application/json',
        body: Buffer.from(answer.body),
      };
    },
  };
}
