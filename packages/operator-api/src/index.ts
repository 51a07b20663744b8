export {
  ApplyOutcome,
  OperatorService,
} from './gen/lilacledge/operator/v1/operator_pb.js';
export type {
  ApplyConfigRequest,
  ApplyConfigResponse,
  ConfigChange,
  EndpointStatus,
  GetStatusResponse,
} from './gen/lilacledge/operator/v1/operator_pb.js';
