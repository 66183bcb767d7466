/**
 * Label values of metrics. Callers choose the class and may send any service name, so each value is checked
 * against the accepted documents; otherwise arbitrary values from callers would grow the registry without limit.
 */

/** Origin of a measurement, as stated by the request. */
export interface RequestLabels {
  service: string;
  institution: string;
  className: string;
}

/** Label values that a service's document permits. */
export interface LabelledService {
  service: string;
  institution: string;
  classNames: readonly string[];
}

/** Labels as exported in the metrics. */
export interface MetricLabels {
  service: string;
  institution: string;
  class: string;
}

export interface ServiceLabels {
  add(service: LabelledService): void;
  remove(serviceName: string): void;
  resolve(labels: RequestLabels): MetricLabels;
  resolveService(serviceName: string): string;
}

/** Replaces every value that no document contains. */
export const otherLabel = 'other';

/** Creates an empty table of services. */
export function createServiceLabels(): ServiceLabels {
  const services = new Map<string, LabelledService>();
  return {
    add(service) {
      services.set(service.service, service);
    },
    remove(serviceName) {
      services.delete(serviceName);
    },
    resolve(labels) {
      const service = services.get(labels.service);
      return {
        service: service?.service ?? otherLabel,
        institution: service?.institution === labels.institution ? labels.institution : otherLabel,
        class: service?.classNames.includes(labels.className) ? labels.className : otherLabel,
      };
    },
    resolveService: (serviceName) => (services.has(serviceName) ? serviceName : otherLabel),
  };
}
