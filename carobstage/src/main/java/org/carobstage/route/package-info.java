/** Routes from databases to services and the consistency of their reads. */
package org.carobstage.route;
