/**
 * Label values of metrics. Callers choose the class and may send any service name, so each value is
 * checked against the accepted documents; a registry would otherwise grow with what callers send.
 */

/** Whom a measurement belongs to, as the request told. */
export interface RequestLabels {
  service: string;
  institution: string;
  className: string;
}

/** What a service's document allows as label values. */
export interface LabelledService {
  service: string;
  institution: string;
  classNames: readonly string[];
}

/** Labels as they appear in the metrics. */
export interface MetricLabels {
  service: string;
  institution: string;
  class: string;
}

export interface ServiceLabels {
  describe(service: LabelledService): void;
  forget(serviceName: string): void;
  resolve(labels: RequestLabels): MetricLabels;
  resolveService(serviceName: string): string;
}

/** Stands for every value that no document names. */
export const otherLabel = 'other';

/** Creates an empty table of known services. */
export function createServiceLabels(): ServiceLabels {
  const known = new Map<string, LabelledService>();
  return {
    describe(service) {
      known.set(service.service, service);
    },
    forget(serviceName) {
      known.delete(serviceName);
    },
    resolve(labels) {
      const service = known.get(labels.service);
      return {
        service: service?.service ?? otherLabel,
        institution: service?.institution === labels.institution ? labels.institution : otherLabel,
        class: service?.classNames.includes(labels.className) ? labels.className : otherLabel,
      };
    },
    resolveService: (serviceName) => (known.has(serviceName) ? serviceName : otherLabel),
  };
}
