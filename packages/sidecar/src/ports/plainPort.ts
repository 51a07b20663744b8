export interface PlainRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly traceparent: string;
}

export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A plain service. Failed calls throw an `EndpointError`. */
export interface PlainPort {
  call(request: PlainRequest): Promise<PlainResponse>;
}
